package org.parsleymoor.configuration

private val FencingValues = setOf("checked", "ignored")
private const val MAX_WEIGHT = 1_000L
private const val MAX_PRIORITY = 100L

/** Loading a version on more than two replicas at a time slows the loading down; see section 6 of the design. */
private const val MAX_CONCURRENT_LOADS = 2L

internal fun checkZones(configuration: Configuration, check: ConfigurationCheck) {
    check.each(ItemKind.ZONE, configuration.zones, { it.name.value }) { zone ->
        name(zone.region.value, "region")
        labels(zone.labels)
    }
}

internal fun checkEndpoints(configuration: Configuration, check: ConfigurationCheck) {
    val zones = configuration.zones.map { it.name }.toSet()
    val addresses = mutableSetOf<String>()
    check.each(ItemKind.ENDPOINT, configuration.endpoints, { it.name.value }) { endpoint ->
        address(endpoint.address)
        val isUnique = addresses.add(endpoint.address)
        expect(isUnique, "address", "\"${endpoint.address}\"", "an address that no other endpoint has")
        expect(endpoint.zone in zones, "zone", "\"${endpoint.zone}\"", "a declared zone${oneOfHint(zones)}")
        labels(endpoint.labels)
        fencing(endpoint)
    }
}

private fun ItemCheck.fencing(endpoint: EndpointDeclaration) {
    val fencing = endpoint.labels["fencing"]
    val known = fencing == null || fencing in FencingValues
    expect(known, "labels.fencing", "\"$fencing\"", "checked or ignored")
    val isEngine = endpoint.kind == EndpointKind.ENGINE
    expect(!isEngine || fencing != null, "labels.fencing", "nothing", "checked or ignored (required for engines)")
}

internal fun checkOrganisations(configuration: Configuration, check: ConfigurationCheck) {
    val digests = mutableSetOf<String>()
    check.each(ItemKind.ORGANISATION, configuration.organisations, { it.name.value }) { organisation ->
        expect(organisation.keyDigests.isNotEmpty(), "keyDigests", "[]", "at least one digest of a bearer key")
        organisation.keyDigests.forEach {
            keyDigest(it)
            expect(digests.add(it), "keyDigests", "\"$it\"", "a key that is listed once, for one organisation")
        }
        range("weight", organisation.weight.toLong(), 1..MAX_WEIGHT)
        range("priority", organisation.priority.toLong(), -MAX_PRIORITY..MAX_PRIORITY)
        labels(organisation.labels)
    }
}

internal fun checkModels(configuration: Configuration, check: ConfigurationCheck) {
    check.each(ItemKind.MODEL, configuration.models, { it.name.value }) { model ->
        version(model.version.value)
        selector(model.selector)
        labels(model.labels)
    }
}

internal fun checkServices(configuration: Configuration, check: ConfigurationCheck) {
    check.each(ItemKind.SERVICE, configuration.services, { it.name }) { selector(it.selector) }
}

internal fun checkRollouts(configuration: Configuration, check: ConfigurationCheck) {
    val models = configuration.models.associateBy { it.name }
    val modelsInRollout = mutableSetOf<String>()
    check.each(ItemKind.ROLLOUT, configuration.rollouts, { it.name }) { rollout ->
        val model = models[rollout.model]
        expect(model != null, "model", "\"${rollout.model}\"", "a declared model${oneOfHint(models.keys)}")
        val isFirst = modelsInRollout.add(rollout.model.value)
        expect(isFirst, "model", "\"${rollout.model}\"", "a model that no other rollout updates")
        version(rollout.version.value)
        val isOtherVersion = model?.version != rollout.version
        expect(isOtherVersion, "version", "\"${rollout.version}\"", "a version other than the current one of the model")
        selector(rollout.selector)
        range("concurrent", rollout.concurrent.toLong(), 1..MAX_CONCURRENT_LOADS)
    }
}

internal fun checkLimits(configuration: Configuration, check: ConfigurationCheck) {
    val limits = configuration.limits
    val item = ItemCheck(ItemReference(ItemKind.LIMITS, ItemKind.LIMITS.table), 0, check.errors)
    LimitRule.All.forEach { item.range(it.key, it.value(limits), it.range) }
    val perOrganisation = limits.queueLengthPerOrganisation
    val queueBound = "at most queueLength, which is ${limits.queueLength}"
    val isWithinQueue = perOrganisation <= limits.queueLength
    item.expect(isWithinQueue, "queueLengthPerOrganisation", perOrganisation.toString(), queueBound)
    val coldBound = "at most concurrentPerEngine, which is ${limits.concurrentPerEngine}"
    item.expect(limits.coldLimit <= limits.concurrentPerEngine, "coldLimit", limits.coldLimit.toString(), coldBound)
}

private fun oneOfHint(names: Collection<Any>): String =
    if (names.isEmpty()) "" else " (one of ${names.map { it.toString() }.sorted().take(NAMES_SHOWN).joinToString()})"

private const val NAMES_SHOWN = 8
