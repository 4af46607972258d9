package org.parsleymoor.configuration

internal val DigestA: String = "a1".repeat(32)
internal val DigestB: String = "b2".repeat(32)

/** Valid declarations with at least one item of each kind. */
internal val Declared: String = """
    [[zone]]
    name = "north-a"
    region = "north"
    state = "in"
    labels = { tier = "live" }

    [[zone]]
    name = "south-a"
    region = "south"

    [[endpoint]]
    name = "engine-1"
    kind = "engine"
    address = "127.0.0.1:7101"
    zone = "north-a"
    labels = { fencing = "checked", model = "leaf" }

    [[endpoint]]
    name = "posting-1"
    kind = "service"
    address = "127.0.0.1:7201"
    zone = "south-a"
    labels = { group = "posting" }

    [[organisation]]
    name = "hill-estate"
    keyDigests = ["$DigestA"]
    weight = 2
    priority = 1

    [[organisation]]
    name = "valley-estate"
    keyDigests = ["$DigestB"]

    [[model]]
    name = "leaf"
    version = "1"
    selector = "model=leaf"

    [[service]]
    name = "posting"
    selector = "group=posting"
    repeatable = false

    [[rollout]]
    name = "leaf-2"
    model = "leaf"
    version = "2"
    concurrent = 1

    [limits]
    queueLength = 500
    queueLengthPerOrganisation = 200
    coldLimit = 2
    concurrentPerEngine = 16
""".trimIndent()
