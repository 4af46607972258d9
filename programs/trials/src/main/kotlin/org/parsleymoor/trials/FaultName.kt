package org.parsleymoor.trials

/** The experiments of `bin/faults run`, in the order in which the faults of one round are brought about. */
internal enum class FaultName(val argument: String, val part: FaultPart) {
    ZONE_OUT_AND_BACK("zone-out-and-back", FaultPart.ENDPOINTS),
    STORE_KILLED("store-killed", FaultPart.ENDPOINTS),
    SILENT_CONNECTIONS("silent-connections", FaultPart.CONNECTIONS),
    ENGINE_TURNS_COLD("engine-turns-cold", FaultPart.ENDPOINTS),
    PLATFORM_SLOW("platform-slow", FaultPart.PLATFORM),
    PLATFORM_ANSWER_LOST("platform-answer-lost", FaultPart.PLATFORM),
    PLATFORM_DOWN("platform-down", FaultPart.PLATFORM),
    GATEWAY_KILLED("gateway-killed", FaultPart.GATEWAY),
    GATEWAY_PAUSED("gateway-paused", FaultPart.GATEWAY),
    PLANNED_STOP("planned-stop", FaultPart.GATEWAY),
    ALL("all", FaultPart.EVERYTHING),
}

/** What a fault hits; silent connections are made at all stand-ins. */
internal enum class FaultPart {
    GATEWAY,
    PLATFORM,
    ENDPOINTS,
    CONNECTIONS,
    EVERYTHING,
    ;

    /** Whether faults of both parts can come together without replacing each other in a stand-in. */
    fun isApartFrom(other: FaultPart): Boolean =
        this != other && (this == GATEWAY || other == GATEWAY || (this != CONNECTIONS && other != CONNECTIONS))
}
