package org.parsleymoor.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import org.parsleymoor.entry.control.ObjectStore
import org.parsleymoor.entry.control.StoreEra
import org.parsleymoor.entry.net.ControlResponse
import org.parsleymoor.entry.protocol.ObjectKind
import org.parsleymoor.relay.http.HeaderField
import org.parsleymoor.relay.http.HeaderFields
import org.parsleymoor.testing.KnownFailures
import strikt.api.expectThat
import strikt.assertions.isNull

@ExtendWith(KnownFailures::class)
class WrongEraTest {
    // One response with a wrong era would make the instance, and peers that it tells, ignore the store for good.
    @Test
    fun `one response with a wrong era does not end the use of the store`() = runTest {
        var stated = 1L
        val store = ObjectStore(MemoryProtocol, StoreEra(SILENT_LOG)) { _, _ ->
            Ok(ControlResponse(200, "4\na 4 false 1", HeaderFields(listOf(HeaderField(ERA_HEADER, "$stated")))))
        }
        store.list(ObjectKind.WEIGHTS)
        stated = 5_000
        store.list(ObjectKind.WEIGHTS)
        stated = 1
        val failures = List(1_000) { store.list(ObjectKind.WEIGHTS).getError() }
        expectThat(failures.last()).isNull()
    }
}
