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
        expectThat(Draft().key("2")).isEqualTo(Draft().key("1"))
        expectThat(Draft(body = listOf("ab", "c")).key()).isEqualTo(Draft(body = listOf("a", "bc")).key())
    }

    @Test
    fun `requests that differ in anything that an endpoint is sent have different keys`() {
        val keys = listOf(
            Draft().key(),
            Draft(organisation = "other").key(),
            Draft(organisation = null).key(),
            Draft(method = "PUT").key(),
            Draft(target = "/r/x?a=2").key(),
            Draft(service = "other").key(),
            Draft(body = listOf("abd")).key(),
            Draft(body = emptyList()).key(),
            Draft(parts = "a:1,b:2").key(),
            Draft(parts = "a:1,b:3").key(),
            Draft(method = "POS", target = "T/r/x").key(),
        )
        expectThat(keys.toSet()).hasSize(keys.size)
    }

    // Hashing all of it would hold up the other requests of the instance.
    @Test
    fun `of a long body the length, the beginning and the end count`() {
        val long = "x".repeat(200_000)
        expectThat(Draft(body = listOf(long)).key()).isEqualTo(Draft(body = long.chunked(30_001)).key())
        expectThat(Draft(body = listOf(long)).key()).isNotEqualTo(Draft(body = listOf("y" + long.drop(1))).key())
        expectThat(Draft(body = listOf(long)).key()).isNotEqualTo(Draft(body = listOf(long.dropLast(1) + "y")).key())
        expectThat(Draft(body = listOf(long)).key()).isNotEqualTo(Draft(body = listOf(long + "x")).key())
    }

    private class Draft(
        val organisation: String? = "org",
        val method: String = "POST",
        val target: String = "/r/x",
        val service: String = "s",
        val body: List<String> = listOf("abc"),
        val parts: String? = null,
    ) {
        fun key(id: String = "1"): ContentKey {
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
}
