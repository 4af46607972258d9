package org.parsleymoor.bench

import com.akuleshov7.ktoml.Toml
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads the workload in [file]; throws [IllegalArgumentException] when it is not valid. */
internal fun readWorkload(file: Path): Workload = Toml.decodeFromString(Workload.serializer(), file.readText())
