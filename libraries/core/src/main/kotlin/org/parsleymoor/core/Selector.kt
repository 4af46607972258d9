package org.parsleymoor.core

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** A conjunction of label requirements, written as `region=north,tier!=test`. */
public class Selector private constructor(private val requirements: List<Requirement>) {
    /** Returns whether [labels] meet every requirement; a label that is not set differs from every value. */
    public fun matches(labels: Labels): Boolean = requirements.all { it.accepts(labels) }

    override fun equals(other: Any?): Boolean = other is Selector && other.requirements == requirements

    override fun hashCode(): Int = requirements.hashCode()

    override fun toString(): String = requirements.joinToString(",")

    public companion object {
        /** Matches everything. */
        public val All: Selector = Selector(emptyList())

        private val name = Regex("[a-z][a-z0-9./-]{0,62}")
        private val value = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

        /** Parses `name=value` and `name!=value` terms joined by commas; returns a [SelectorFailure] for other text. */
        public fun parse(text: String): Result<Selector, SelectorFailure> {
            val terms = if (text.isBlank()) emptyList() else text.split(',').map { it.trim() }
            val parsed = terms.map { it to parseTerm(it) }
            val malformed = parsed.firstOrNull { it.second == null }
            if (malformed != null) return Err(SelectorFailure(text, malformed.first))
            return Ok(Selector(parsed.mapNotNull { it.second }))
        }

        private fun parseTerm(term: String): Requirement? {
            val operator = Operator.entries.firstOrNull { it.symbol in term } ?: return null
            val label = term.substringBefore(operator.symbol).trim()
            val expected = term.substringAfter(operator.symbol).trim()
            val valid = name.matches(label) && value.matches(expected)
            return if (valid) Requirement(label, operator, expected) else null
        }
    }

    private enum class Operator(val symbol: String) { NotEquals("!="), Equals("=") }

    private data class Requirement(val label: String, val operator: Operator, val expected: String) {
        fun accepts(labels: Labels): Boolean = when (operator) {
            Operator.Equals -> labels[label] == expected
            Operator.NotEquals -> labels[label] != expected
        }

        override fun toString(): String = "$label${operator.symbol}$expected"
    }
}

/** Reports that [term] in the selector [text] is neither `name=value` nor `name!=value`. */
public data class SelectorFailure(public val text: String, public val term: String) : Failure {
    override val message: String
        get() = "selector \"$text\": expected name=value or name!=value, found \"$term\""
}
