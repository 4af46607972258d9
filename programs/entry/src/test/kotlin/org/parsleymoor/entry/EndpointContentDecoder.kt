package org.parsleymoor.entry

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.entry.protocol.ContentDecoder
import org.parsleymoor.entry.protocol.DecodeFailure
import org.parsleymoor.relay.fleet.EndpointEntry
import org.parsleymoor.relay.fleet.SocketAddress
import org.parsleymoor.relay.routing.ServingConfiguration

/** Reads entries of the service "s" whose content is a state and a start time, such as "ready 1". */
internal object EndpointContentDecoder : ContentDecoder {
    override fun endpoint(name: String, content: String): Result<EndpointEntry, DecodeFailure> {
        val (state, start) = content.split(' ')
        return Ok(
            EndpointEntry(
                id = EndpointId(name),
                service = "s",
                address = SocketAddress("10.0.0.1", 80),
                zone = ZoneId("z"),
                draining = state == "draining",
                slots = 1,
                startMillis = start.toLong(),
            )
        )
    }

    override fun configuration(content: String): Result<ServingConfiguration, DecodeFailure> = error("not used")

    override fun weights(content: String): Result<Pair<ModelId, Long>, DecodeFailure> = error("not used")

    override fun evacuatedZone(name: String): ZoneId = ZoneId(name)
}
