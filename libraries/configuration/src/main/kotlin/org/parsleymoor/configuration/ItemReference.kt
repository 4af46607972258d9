package org.parsleymoor.configuration

import kotlinx.serialization.Serializable

/** The kind of a declared item; [table] is the name of its TOML table. */
@Serializable
public enum class ItemKind(public val table: String) {
    ZONE("zone"),
    ENDPOINT("endpoint"),
    ORGANISATION("organisation"),
    MODEL("model"),
    SERVICE("service"),
    ROLLOUT("rollout"),
    LIMITS("limits"),
}

/** Identifies an item of a configuration. The limits are one item named `limits`. */
@Serializable
public data class ItemReference(public val kind: ItemKind, public val name: String) {
    override fun toString(): String = if (kind == ItemKind.LIMITS) kind.table else "${kind.table} $name"
}
