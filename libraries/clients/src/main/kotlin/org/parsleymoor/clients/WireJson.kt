package org.parsleymoor.clients

import kotlinx.serialization.json.Json

/** The JSON format of messages to and from endpoints and the platform; unknown members are ignored. */
public val WireJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    classDiscriminator = "type"
}
