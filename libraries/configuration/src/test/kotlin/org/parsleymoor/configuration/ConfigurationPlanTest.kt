package org.parsleymoor.configuration

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Test
import org.parsleymoor.core.EndpointId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.RegionId
import org.parsleymoor.core.WeightVersion
import org.parsleymoor.core.ZoneId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ConfigurationPlanTest {
    private val leaf = ModelId("leaf")
    private val current = Configuration(
        revision = 7,
        zones = listOf("a", "b").map { ZoneDeclaration(ZoneId(it), RegionId("north")) },
        endpoints = listOf(engine("engine-1", "a"), engine("engine-2", "b")),
        models = listOf(ModelDeclaration(leaf, WeightVersion("1"), "model=leaf")),
    )

    @Test
    fun `a plan lists each changed item with its old and new values`() {
        val after = withZone(
            "a",
            PlacementState.OUT
        ).let { it.copy(endpoints = it.endpoints + engine("engine-3", "a")) }
        val plan = ConfigurationPlan.of(current, after)
        expectThat(plan.changes.map { it.toString() })
            .containsExactly("~ zone a: state in -> out", "+ endpoint engine-3")
        expectThat(plan.dangers).isEmpty()
    }

    @Test
    fun `taking out the last zone is dangerous`() {
        val before = withZone("a", PlacementState.OUT)
        val after = before.copy(zones = before.zones.map { it.copy(state = PlacementState.OUT) })
        val dangers = ConfigurationPlan.of(before, after).dangers
        expectThat(dangers).containsExactly(
            Danger.LastZone(listOf("b")),
            Danger.NoEndpointLeft(ItemReference(ItemKind.MODEL, "leaf"), 2),
        )
    }

    @Test
    fun `a selector that matches nothing or everything is dangerous`() {
        expectThat(ConfigurationPlan.of(current, withSelector("model=cup")).dangers)
            .containsExactly(Danger.MatchesNothing("model leaf", "model=cup"))
        expectThat(ConfigurationPlan.of(current, withSelector("tier!=test")).dangers)
            .containsExactly(Danger.MatchesAll("model leaf", "tier!=test", 2))
    }

    @Test
    fun `a new version of a model with an unchanged selector that matches everything is not dangerous`() {
        val before = withSelector("tier!=test")
        val rollout = RolloutDeclaration("leaf-2", leaf, WeightVersion("2"))
        val after = before.copy(models = before.models.map { it.copy(version = rollout.version) })
        expectThat(ConfigurationPlan.of(before.copy(rollouts = listOf(rollout)), after).dangers).isEmpty()
    }

    @Test
    fun `capacity below the current load is dangerous only if the change reduces it`() {
        val after = withZone("a", PlacementState.DRAIN)
        val demand = listOf(ModelDemand(leaf, 17))
        expectThat(ConfigurationPlan.of(current, after, demand).dangers)
            .containsExactly(Danger.Capacity("leaf", requests = 17, places = 16))
        expectThat(ConfigurationPlan.of(after, current, demand).dangers).isEmpty()
        expectThat(ConfigurationPlan.of(current, after, listOf(ModelDemand(leaf, 16))).dangers).isEmpty()
    }

    @Test
    fun `removing an endpoint in service and switching a version without a rollout are dangerous`() {
        val model = current.models.single().copy(version = WeightVersion("2"))
        val after = current.copy(endpoints = current.endpoints.take(1), models = listOf(model))
        expectThat(ConfigurationPlan.of(current, after).dangers)
            .containsExactly(Danger.RemovedInService("engine-2"), Danger.VersionSwitched("leaf", "1", "2"))
    }

    @Test
    fun `applying declarations keeps states that are not declared`() {
        val declared = requireNotNull(DeclarationReader.parse(listOf("a.toml" to Declared)).get())
        val before = declared.configuration.copy(
            revision = 3,
            zones = declared.configuration.zones.map { it.copy(state = PlacementState.OUT) },
        )
        val after = declared.appliedTo(before)
        expectThat(after.revision).isEqualTo(3)
        expectThat(after.zones.map { it.state }).containsExactly(PlacementState.IN, PlacementState.OUT)
    }

    @Test
    fun `an active rollout stays until the files declare its version`() {
        val declared = requireNotNull(DeclarationReader.parse(listOf("a.toml" to Declared)).get())
        val files = declared.copy(configuration = declared.configuration.copy(rollouts = emptyList()))
        expectThat(files.appliedTo(declared.configuration).rollouts.map { it.name }).containsExactly("leaf-2")
        val models = declared.configuration.models.map { it.copy(version = WeightVersion("2")) }
        val finished = files.copy(configuration = files.configuration.copy(models = models))
        expectThat(finished.appliedTo(declared.configuration).rollouts).isEmpty()
    }

    private fun withZone(name: String, state: PlacementState): Configuration =
        current.copy(zones = current.zones.map { if (it.name.value == name) it.copy(state = state) else it })

    private fun withSelector(selector: String): Configuration =
        current.copy(models = current.models.map { it.copy(selector = selector) })

    private fun engine(name: String, zone: String): EndpointDeclaration {
        val labels = mapOf("fencing" to "checked", "model" to "leaf")
        return EndpointDeclaration(EndpointId(name), EndpointKind.ENGINE, "127.0.0.1:80", ZoneId(zone), labels = labels)
    }
}
