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

/** The parsed content of one TOML [file]; invalid lines and duplicate keys are added to [errors]. */
internal class TomlDocument(
    private val file: String,
    text: String,
    private val errors: MutableList<ValidationError>
) {
    /** Whether the file is free of syntax errors. */
    var isSyntaxValid: Boolean = true
        private set

    val root: TomlItem.Table = parse(text)

    private fun parse(text: String): TomlItem.Table {
        val lines = text.lines().toMutableList()
        val node = generateSequence { tryParse(lines) }.take(MAX_SYNTAX_ERRORS).firstOrNull { it.isFinal }?.node
        return node?.let { table(it, FIRST_LINE, "") } ?: TomlItem.Table(FIRST_LINE, emptyMap())
    }

    /** Parses the lines; the parser stops at the first invalid line, which is blanked so that the next call goes on. */
    private fun tryParse(lines: MutableList<String>): ParseAttempt = try {
        ParseAttempt(TomlParser(INPUT).parseString(lines.joinToString("\n")), isFinal = true)
    } catch (cause: TomlDecodingException) {
        blankInvalidLine(cause.message.orEmpty(), lines)
    } catch (cause: NumberFormatException) {
        blankInvalidLine(cause.message.orEmpty(), lines)
    }

    private fun blankInvalidLine(message: String, lines: MutableList<String>): ParseAttempt {
        val line = LINE_NUMBER.find(message)?.groupValues?.get(1)?.toIntOrNull() ?: 0
        isSyntaxValid = false
        errors += syntaxError(line, lines, message)
        val blanked = lines.getOrNull(line - 1)?.isNotBlank() == true
        if (blanked) lines[line - 1] = ""
        return ParseAttempt(null, isFinal = !blanked)
    }

    private fun syntaxError(line: Int, lines: List<String>, message: String): ValidationError {
        val found = lines.getOrNull(line - 1)?.trim() ?: "text that is not valid TOML"
        val reason = message.replace(LINE_NUMBER, "").trim().trimStart(':', ' ').lineSequence().first()
        return ValidationError(file, line, "", found, "a line of TOML ($reason)")
    }

    private fun table(node: TomlNode, line: Int, path: String): TomlItem.Table {
        val entries = linkedMapOf<String, TomlItem>()
        for (child in node.children) {
            val item = item(child, path) ?: continue
            val name = child.name.trim('"', '\'')
            val earlier = entries.putIfAbsent(name, item)
            if (earlier != null) errors += duplicateKey(path + name, item, earlier)
        }
        return TomlItem.Table(line, entries)
    }

    private fun duplicateKey(key: String, item: TomlItem, earlier: TomlItem): ValidationError {
        val expected = "a key that is set once (it is also set on line ${earlier.line})"
        return ValidationError(file, item.line, key, item.displayText, expected)
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
        is TomlBasicString -> TomlItem.StringValue(line, value.content.toString())
        is TomlLiteralString -> TomlItem.StringValue(line, value.content.toString())
        is TomlLong -> TomlItem.IntegerValue(line, value.content as Long)
        is TomlDouble -> TomlItem.FloatValue(line, value.content as Double)
        is TomlBoolean -> TomlItem.BooleanValue(line, value.content as Boolean)
        is TomlArray -> TomlItem.Array(line, elements(value, line))
        else -> TomlItem.OtherValue(line, value.content.toString())
    }

    private fun elements(array: TomlArray, line: Int): List<TomlItem> =
        (array.content as List<*>).filterIsInstance<TomlValue>().map { value(it, line) }

    private data class ParseAttempt(val node: TomlNode?, val isFinal: Boolean)

    private companion object {
        const val MAX_SYNTAX_ERRORS = 20
        const val FIRST_LINE = 1
        val INPUT = TomlInputConfig(allowEmptyValues = false, allowNullValues = false)
        val LINE_NUMBER = Regex("""[Ll]ine (\d+):?""")
    }
}
