package org.parsleymoor.relay.http

internal fun isToken(text: String): Boolean =
    text.isNotEmpty() && text.all { it.isAsciiLetterOrDigit() || it in "!#$%&'*+-.^_`|~" }

internal fun isTarget(text: String): Boolean = text.isNotEmpty() && text.all { it in '!'..'~' }

internal fun Char.isAsciiDigit(): Boolean = this in '0'..'9'

private fun Char.isAsciiLetterOrDigit(): Boolean = isAsciiDigit() || this in 'a'..'z' || this in 'A'..'Z'
