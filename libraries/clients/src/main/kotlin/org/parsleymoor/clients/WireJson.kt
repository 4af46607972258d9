package org.parsleymoor.clients

import kotlinx.serialization.json.Json

/** The JSON form of every message to and from endpoints and the platform; unknown members are skipped. */
public val WireJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    classDiscriminator = "type"
}
