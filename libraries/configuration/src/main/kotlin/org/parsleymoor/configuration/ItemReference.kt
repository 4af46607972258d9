package org.parsleymoor.configuration

import kotlinx.serialization.Serializable

/** What kind of item a declaration makes; [table] is the heading of its TOML table. */
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

/** Names one item of a configuration; the limits have the name `limits`. */
@Serializable
public data class ItemReference(public val kind: ItemKind, public val name: String) {
    override fun toString(): String = if (kind == ItemKind.LIMITS) kind.table else "${kind.table} $name"
}
