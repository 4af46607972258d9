package org.parsleymoor.gateway.control

import org.junit.jupiter.api.Test
import org.parsleymoor.clients.DesiredState
import org.parsleymoor.clients.EngineLoad
import org.parsleymoor.clients.LoadedVersion
import org.parsleymoor.configuration.Configuration
import org.parsleymoor.configuration.LimitsDeclaration
import org.parsleymoor.configuration.ModelDeclaration
import org.parsleymoor.configuration.RolloutDeclaration
import org.parsleymoor.coordination.Fencing
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.gateway.GatewayHarness
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class WantedContentsTest {
    private val engine = EndpointId("engine-0")
    private val leaf = ModelId("leaf")

    /** Guards against a rollout that unloads the current version before the new one can serve. */
    @Test
    fun `a rollout wants its version beside the one in use`() {
        val contents = contents(configuration("1", rollout = "2"))
        expectThat(contents.next(load("1"))).isEqualTo(DesiredState.Loaded(leaf, WeightVersion("2")))
        expectThat(contents.next(load("1", "2"))).isEqualTo(DesiredState.Role("serve"))
    }

    /** Guards against an engine that has no version while the next one is not loaded yet. */
    @Test
    fun `the version in use is loaded before another is unloaded`() {
        val contents = contents(configuration("2"))
        expectThat(contents.next(load("1"))).isEqualTo(DesiredState.Loaded(leaf, WeightVersion("2")))
        expectThat(contents.next(load("1", "2"))).isEqualTo(DesiredState.Unloaded(leaf, WeightVersion("1")))
    }

    /** Guards against unloading a version while requests that began before the switch use it. */
    @Test
    fun `a version that may still have running requests counts neither as held nor as surplus`() {
        val contents = contents(configuration("2"), retained = setOf("1"))
        expectThat(contents.next(load("1", "2"))).isEqualTo(DesiredState.Role("serve"))
        val target = contents.targets().single()
        expectThat(contents.state(engine, load("1", "2")).content).isEqualTo(target.wanted)
    }

    /** Guards against orders for models that the configuration does not name. */
    @Test
    fun `the version of a model that is not declared is left alone`() {
        val load = load("1").let { it.copy(versions = it.versions + LoadedVersion(ModelId("bud"), WeightVersion("7"))) }
        val contents = contents(configuration("1"))
        expectThat(contents.next(load)).isEqualTo(DesiredState.Role("serve"))
        expectThat(contents.state(engine, load).content).isEqualTo(contents.targets().single().wanted)
    }

    /** Guards against an order that should only confirm the state but loads the next version. */
    @Test
    fun `an order for the content that the engine has changes nothing`() {
        val contents = contents(configuration("1", rollout = "2"))
        val held = contents.state(engine, load("1")).content
        expectThat(contents.nextStep(engine, load("1"), held)).isEqualTo(DesiredState.Role("serve"))
    }

    /** Guards against relying on fencing tokens when no support is declared. */
    @Test
    fun `an engine without the label is assumed to ignore fencing`() {
        expectThat(contents(configuration("1")).targets().single().fencing).isEqualTo(Fencing.IGNORED)
    }

    /** Guards against a rollout that loads on every engine of a model at once. */
    @Test
    fun `one engine of a model under rollout is not loading`() {
        val two = GatewayHarness.configuration(listOf(1, 2)).copy(rollouts = listOf(rollout("2")))
        expectThat(contents(two).concurrentLoads()).isEqualTo(1)
        val eight = GatewayHarness.configuration((1..8).toList()).copy(rollouts = listOf(rollout("2")))
        expectThat(contents(eight).concurrentLoads()).isEqualTo(2)
    }

    /** Guards against unloading a version whose last requests are still within their deadline. */
    @Test
    fun `a version is retained for the deadline and the propagation time after it was last current`() {
        val retired = RetiredVersions(propagationMillis = 100)
        val limits = LimitsDeclaration(requestDeadlineMillis = 1_000)
        retired.observe(configuration("1").copy(limits = limits), nowMillis = 0)
        retired.observe(configuration("1").copy(limits = limits), nowMillis = 5_000)
        retired.observe(configuration("2").copy(limits = limits), nowMillis = 6_000)
        expectThat(retired.isRetained(version("1"), nowMillis = 6_099)).isTrue()
        expectThat(retired.isRetained(version("1"), nowMillis = 6_100)).isFalse()
        expectThat(retired.isRetained(version("9"), nowMillis = 1_099)).isTrue()
        expectThat(retired.isRetained(version("9"), nowMillis = 1_100)).isFalse()
    }

    private fun contents(configuration: Configuration, retained: Set<String> = emptySet()) =
        WantedContents(configuration) { it.version.value in retained }

    private fun WantedContents.next(load: EngineLoad): DesiredState =
        nextStep(engine, load, targets().single().wanted)

    private fun configuration(version: String, rollout: String? = null): Configuration =
        GatewayHarness.configuration(listOf(1)).copy(
            models = listOf(ModelDeclaration(leaf, WeightVersion(version))),
            rollouts = listOfNotNull(rollout?.let { rollout(it) }),
        )

    private fun rollout(version: String) = RolloutDeclaration("leaf-$version", leaf, WeightVersion(version))

    private fun version(version: String) = ModelVersion(leaf, WeightVersion(version))

    private fun load(vararg versions: String) = EngineLoad(
        endpoint = engine,
        startCount = 1,
        cold = false,
        running = 0,
        queued = 0,
        queuedPrefillTokens = 0,
        cachedBytes = 0,
        cacheCapacityBytes = 0,
        versions = versions.map { LoadedVersion(leaf, WeightVersion(it)) },
        role = "serve",
        reportedAtMillis = 0,
    )
}
