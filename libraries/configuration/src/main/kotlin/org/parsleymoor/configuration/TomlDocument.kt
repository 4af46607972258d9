package org.parsleymoor.configuration

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TableType
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlArray
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlBasicString
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlBoolean
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlDouble
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlLiteralString
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlLong
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue

/** The items of one TOML [file]; lines that are no TOML and keys set twice are added to [mistakes]. */
internal class TomlDocument(
    private val file: String,
    text: String,
    private val mistakes: MutableList<ValidationError>
) {
    /** Whether every line is TOML. */
    var isWhole: Boolean = true
        private set

    val root: TomlItem.Table = parse(text)

    private fun parse(text: String): TomlItem.Table {
        val lines = text.lines().toMutableList()
        val node = generateSequence { attempt(lines) }.take(SYNTAX_MISTAKES_LISTED).firstOrNull { it.isFinal }?.node
        return node?.let { table(it, FIRST_LINE, "") } ?: TomlItem.Table(FIRST_LINE, emptyMap())
    }

    /** Blanks the line that the parser refuses, so that the next attempt finds the next such line. */
    private fun attempt(lines: MutableList<String>): Attempt = try {
        Attempt(TomlParser(INPUT).parseString(lines.joinToString("\n")), isFinal = true)
    } catch (cause: TomlDecodingException) {
        blank(cause.message.orEmpty(), lines)
    } catch (cause: NumberFormatException) {
        blank(cause.message.orEmpty(), lines)
    }

    private fun blank(message: String, lines: MutableList<String>): Attempt {
        val line = LINE.find(message)?.groupValues?.get(1)?.toIntOrNull() ?: 0
        isWhole = false
        mistakes += syntaxMistake(line, lines, message)
        val blanked = lines.getOrNull(line - 1)?.isNotBlank() == true
        if (blanked) lines[line - 1] = ""
        return Attempt(null, isFinal = !blanked)
    }

    private fun syntaxMistake(line: Int, lines: List<String>, message: String): ValidationError {
        val found = lines.getOrNull(line - 1)?.trim() ?: "text that is no TOML"
        val reason = message.replace(LINE, "").trim().trimStart(':', ' ').lineSequence().first()
        return ValidationError(file, line, "", found, "a line of TOML ($reason)")
    }

    private fun table(node: TomlNode, line: Int, path: String): TomlItem.Table {
        val entries = linkedMapOf<String, TomlItem>()
        for (child in node.children) {
            val item = item(child, path) ?: continue
            val name = child.name.trim('"', '\'')
            val earlier = entries.putIfAbsent(name, item)
            if (earlier != null) mistakes += setTwice(path + name, item, earlier)
        }
        return TomlItem.Table(line, entries)
    }

    private fun setTwice(key: String, item: TomlItem, earlier: TomlItem): ValidationError {
        val expected = "a key that is set once (it is also set on line ${earlier.line})"
        return ValidationError(file, item.line, key, item.shown, expected)
    }

    private fun item(node: TomlNode, path: String): TomlItem? = when (node) {
        is TomlTable -> tableOrArray(node, "$path${node.name.trim('"', '\'')}.")
        is TomlKeyValuePrimitive -> value(node.value, node.lineNo)
        is TomlKeyValueArray -> value(node.value, node.lineNo)
        else -> null
    }

    private fun tableOrArray(node: TomlTable, path: String): TomlItem =
        if (node.type == TableType.ARRAY) {
            TomlItem.TableArray(node.lineNo, node.children.map { table(it, it.lineNo, path) })
        } else {
            table(node, node.lineNo, path)
        }

    private fun value(value: TomlValue, line: Int): TomlItem = when (value) {
        is TomlBasicString -> TomlItem.Text(line, value.content.toString())
        is TomlLiteralString -> TomlItem.Text(line, value.content.toString())
        is TomlLong -> TomlItem.Whole(line, value.content as Long)
        is TomlDouble -> TomlItem.Real(line, value.content as Double)
        is TomlBoolean -> TomlItem.Truth(line, value.content as Boolean)
        is TomlArray -> TomlItem.Array(line, elements(value, line))
        else -> TomlItem.Other(line, value.content.toString())
    }

    private fun elements(array: TomlArray, line: Int): List<TomlItem> =
        (array.content as List<*>).filterIsInstance<TomlValue>().map { value(it, line) }

    private data class Attempt(val node: TomlNode?, val isFinal: Boolean)

    private companion object {
        const val SYNTAX_MISTAKES_LISTED = 20
        const val FIRST_LINE = 1
        val INPUT = TomlInputConfig(allowEmptyValues = false, allowNullValues = false)
        val LINE = Regex("""[Ll]ine (\d+):?""")
    }
}
