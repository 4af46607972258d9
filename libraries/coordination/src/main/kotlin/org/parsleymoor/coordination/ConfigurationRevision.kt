package org.parsleymoor.coordination

/** Root of a configuration: its [revision] and the content hashes (SHA-256, lower-case hexadecimal) of its sections. */
public data class ConfigurationRoot(
    public val revision: Long,
    public val sections: Map<String, String>,
)

/** A complete configuration: its [root] and the text of each section by content hash. */
public data class ConfigurationRevision(
    public val root: ConfigurationRoot,
    public val contents: Map<String, String>,
)
