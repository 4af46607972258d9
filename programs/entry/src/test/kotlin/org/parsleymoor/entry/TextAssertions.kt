package org.parsleymoor.entry

import strikt.api.Assertion

/** Asserts that the subject does not contain [text]. */
internal fun Assertion.Builder<String>.doesNotContain(text: String): Assertion.Builder<String> =
    assert("does not contain %s", text) { found -> if (text in found) fail(found) else pass() }
