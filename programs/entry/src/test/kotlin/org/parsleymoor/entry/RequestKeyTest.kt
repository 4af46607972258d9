package org.parsleymoor.entry

import org.junit.jupiter.api.Test
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RequestId
import org.parsleymoor.entry.callers.CallerRequest
import org.parsleymoor.entry.serving.Caller
import org.parsleymoor.entry.serving.PendingRequest
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.relay.http.HeldBody
import org.parsleymoor.relay.http.RequestHead
import org.parsleymoor.relay.limits.HeldBytes
import org.parsleymoor.relay.prompt.PromptContext
import org.parsleymoor.relay.quarantine.ContentKey
import org.parsleymoor.relay.routing.Organisation
import org.parsleymoor.relay.routing.RequestKind
import org.parsleymoor.relay.routing.Route
import org.parsleymoor.relay.routing.RouteTarget
import org.parsleymoor.relay.routing.Service
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

/** Guards against requests that are refused for each other, and against one that is not known again. */
class RequestKeyTest {
    @Test
    fun `attempts of the same request have the same key, however their bodies were divided`() {
        expectThat(key(id = "2")).isEqualTo(key(id = "1"))
        expectThat(key(body = listOf("ab", "c"))).isEqualTo(key(body = listOf("a", "bc")))
    }

    @Test
    fun `requests that differ in anything that an endpoint is sent have different keys`() {
        val keys = listOf(
            key(),
            key(organisation = "other"),
            key(organisation = null),
            key(method = "PUT"),
            key(target = "/r/x?a=2"),
            key(service = "other"),
            key(body = listOf("abd")),
            key(body = emptyList()),
            key(parts = "a:1,b:2"),
            key(parts = "a:1,b:3"),
            key(method = "POS", target = "T/r/x"),
        )
        expectThat(keys.toSet()).hasSize(keys.size)
    }

    // Hashing all of it would hold up the other requests of the instance.
    @Test
    fun `of a long body the length, the beginning and the end count`() {
        val long = "x".repeat(200_000)
        expectThat(key(body = listOf(long))).isEqualTo(key(body = long.chunked(30_001)))
        expectThat(key(body = listOf(long))).isNotEqualTo(key(body = listOf("y" + long.drop(1))))
        expectThat(key(body = listOf(long))).isNotEqualTo(key(body = listOf(long.dropLast(1) + "y")))
        expectThat(key(body = listOf(long))).isNotEqualTo(key(body = listOf(long + "x")))
    }

    private fun key(
        id: String = "1",
        organisation: String? = "org",
        method: String = "POST",
        target: String = "/r/x",
        service: String = "s",
        body: List<String> = listOf("abc"),
        parts: String? = null,
    ): ContentKey {
        val held = HeldBody(HeldBytes(10_000_000))
        body.forEach { held.append(it.encodeToByteArray()) }
        val head = RequestHead(method, target, HeaderFields(emptyList()))
        return PendingRequest(
            id = RequestId(id),
            request = CallerRequest(head, held, receivedMillis = 0),
            route = Route(
                name = "r",
                host = "h",
                pathPrefix = "/r/",
                kind = RequestKind.IDEMPOTENT,
                targets = listOf(RouteTarget(service, 1.0)),
                timeoutMillis = 1_000,
                objectiveMillis = 1_000,
                attempts = 2,
            ),
            service = Service(service, connectionLimit = 1, coldMillis = 0, coldRequestsPerSecond = 0.0),
            caller = Caller(organisation?.let { Organisation(OrganisationId(it), emptySet()) }, true, 1_000),
            prompt = parts?.let { PromptContext.parse("m", "3,1", it) },
        ).key
    }
}
