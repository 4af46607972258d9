package org.parsleymoor.relay.prompt

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class PromptContextTest {
    @Test
    fun `the last part is specific to the request`() {
        val prompt = PromptContext.parse("m", "1460,80", "a:800, b:410,c:250")
        expectThat(prompt?.sharedTokens).isEqualTo(1_210)
        expectThat(prompt?.affinityKey).isEqualTo("b")
        expectThat(prompt?.outputTokens).isEqualTo(80)
    }

    @ParameterizedTest
    @CsvSource(value = ["x|a:1", "|a:1", "10|a", "10|a:-1", "10|a:x"], delimiter = '|')
    fun `malformed counts and parts are rejected`(usage: String?, parts: String?) {
        expectThat(PromptContext.parse("m", usage, parts)).isNull()
    }

    @Test
    fun `namespaces differ by weight version and separate an isolated organisation from all others`() {
        val model = ModelId("m")
        val organisation = OrganisationId("o")
        val shared = cacheNamespace(model, 1, organisation, isolated = false)
        expectThat(cacheNamespace(model, 2, organisation, isolated = false)).isNotEqualTo(shared)
        expectThat(cacheNamespace(model, 1, organisation, isolated = true)).isNotEqualTo(shared)
        expectThat(cacheNamespace(model, 1, null, isolated = true)).isEqualTo(shared)
        expectThat(parseCacheNamespace("$shared/tag")).isEqualTo(model to 1L)
        expectThat(parseCacheNamespace("foreign")).isNull()
    }
}
