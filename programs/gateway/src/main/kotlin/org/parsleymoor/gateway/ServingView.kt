package org.parsleymoor.gateway

import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.EndpointDeclaration
import org.parsleymoor.configuration.EndpointKind
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.OrganisationDeclaration
import org.parsleymoor.configuration.ServiceDeclaration
import org.parsleymoor.configuration.endpointsMatching
import org.parsleymoor.configuration.takesNewWork
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.ZoneId
import org.parsleymoor.core.sha256Hex

/** One configuration with the indexes that the data path reads. Immutable. */
internal class ServingView(val configuration: Configuration) {
    private val organisations = configuration.organisations
        .flatMap { organisation -> organisation.keyDigests.map { it.lowercase() to organisation } }.toMap()
    private val endpointsByName = configuration.endpoints.associateBy { it.name }
    private val endpointsByKind = configuration.endpoints.groupBy { it.kind }
    private val models = configuration.models.associateBy { it.name }
    private val services = configuration.services.associateBy { it.name }
    private val regions = configuration.zones.associate { it.name to it.region }
    private val engines = configuration.models.associate { model ->
        model.name to configuration.endpointsMatching(EndpointKind.ENGINE, model.selector)
    }
    private val replicas = configuration.services.associate { service ->
        service.name to configuration.endpointsMatching(EndpointKind.SERVICE, service.selector)
    }
    private val accepting = configuration.endpoints.filter { configuration.takesNewWork(it) }.map { it.name }.toSet()

    /** All endpoints of [kind]. */
    fun endpoints(kind: EndpointKind): List<EndpointDeclaration> = endpointsByKind[kind].orEmpty()

    fun endpoint(name: EndpointId): EndpointDeclaration? = endpointsByName[name]

    /** Returns the organisation that the bearer [key] belongs to. */
    fun organisationOf(key: String): OrganisationDeclaration? = organisations[key.encodeToByteArray().sha256Hex()]

    fun model(name: String): ModelDeclaration? = models[ModelId(name)]

    fun service(name: String): ServiceDeclaration? = services[name]

    fun enginesOf(model: ModelId): List<EndpointDeclaration> = engines[model].orEmpty()

    fun replicasOf(service: String): List<EndpointDeclaration> = replicas[service].orEmpty()

    /** Whether new work may be sent to [endpoint]: neither it nor its zone is drained or out. */
    fun takesNewWork(endpoint: EndpointId): Boolean = endpoint in accepting

    fun regionOf(zone: ZoneId): RegionId? = regions[zone]
}
