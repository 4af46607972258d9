package org.parsleymoor.core

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

class SelectorTest {
    private val labels = Labels.of("region" to "north", "tier" to "live")

    @Test
    fun `every requirement has to be met`() {
        expectThat(selector("region=north,tier!=test").matches(labels)).isTrue()
        expectThat(selector("region=north,tier=test").matches(labels)).isFalse()
    }

    @Test
    fun `a label that is not set differs from every value`() {
        expectThat(selector("state!=out").matches(labels)).isTrue()
        expectThat(selector("state=out").matches(labels)).isFalse()
    }

    @Test
    fun `an empty selector matches everything`() {
        expectThat(selector(" ").matches(Labels.Empty)).isTrue()
    }

    @ParameterizedTest
    @ValueSource(strings = ["region", "=north", "region=", "region==north", "Region=north", "a=b,,c=d", "a!b"])
    fun `malformed text is rejected`(text: String) {
        expectThat(Selector.parse(text).getError()).isNotNull().get { this.text }.isEqualTo(text)
    }

    private fun selector(text: String): Selector = requireNotNull(Selector.parse(text).get())
}
