package org.parsleymoor.trials

import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.configuration.ZoneDeclaration
import org.parsleymoor.context.PromptHashes
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.sha256Hex

/** An endpoint of the trial's deployment before its port is known. */
internal data class Site(val name: String, val kind: EndpointKind, val zone: String)

/** The deployment of section 1.4 that the trials run: three zones in two regions, and organisations of both users. */
internal object Deployment {
    const val COLD_LIMIT = 2
    const val COLD_ANSWERS = 5
    const val COLD_MILLIS = 2_000L
    const val SERVICE = "portal"
    val zones = mapOf("north-a" to "north", "north-b" to "north", "south-a" to "south")
    val organisations = listOf("estate-1", "estate-2", "studio-1", "studio-2")

    val sites: List<Site> =
        (1..ENGINES).map { Site("engine-$it", EndpointKind.ENGINE, zoneOf(it)) } +
            (1..SERVICES).map { Site("portal-$it", EndpointKind.SERVICE, zoneOf(it)) } +
            listOf(
                Site("store-1", EndpointKind.STORE, "north-a"),
                Site("store-2", EndpointKind.STORE, "south-a"),
            )

    /** The model that an organisation's prompts ask for. */
    fun modelOf(organisation: String): String = if (organisation.startsWith("estate")) "leaf" else "caption"

    /** The bearer key of an organisation. */
    fun keyOf(organisation: String): String = "key-of-$organisation"

    /** The headers of a call of an organisation. */
    fun headersOf(organisation: String): Map<String, String> =
        mapOf("Authorization" to "Bearer ${keyOf(organisation)}", "Content-Type" to "application/json")

    /** The text that the prompts of one of an organisation's contexts share, of two to five full pieces. */
    fun contextText(organisation: String, context: Int): String {
        val sentence = "$organisation brief $context "
        return sentence.repeat((2 + context % MORE_PIECES) * PromptHashes.PIECE_BYTES / sentence.length)
    }

    /** The configuration with the endpoints at [ports]. */
    fun configuration(revision: Long, ports: Map<String, Int>): Configuration = Configuration(
        revision = revision,
        zones = zones.map { ZoneDeclaration(ZoneId(it.key), RegionId(it.value)) },
        endpoints = sites.map {
            EndpointDeclaration(EndpointId(it.name), it.kind, "127.0.0.1:${ports.getValue(it.name)}", ZoneId(it.zone))
        },
        organisations = organisations.map {
            OrganisationDeclaration(OrganisationId(it), listOf(keyOf(it).toByteArray().sha256Hex()))
        },
        models = listOf("leaf", "caption").map { ModelDeclaration(ModelId(it), WeightVersion("1")) },
        services = listOf(ServiceDeclaration(SERVICE, "")),
        limits = LimitsDeclaration(coldLimit = COLD_LIMIT, coldAnswers = COLD_ANSWERS, coldMillis = COLD_MILLIS),
    )

    private fun zoneOf(number: Int): String = zones.keys.elementAt(number % zones.size)

    private const val ENGINES = 8
    private const val MORE_PIECES = 4
    private const val SERVICES = 3
}
