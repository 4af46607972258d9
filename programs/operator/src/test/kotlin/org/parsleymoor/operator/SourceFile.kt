package org.parsleymoor.operator

import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText
import kotlin.io.path.walk

/** A main source file of a module such as `programs/gateway`. */
internal class SourceFile(path: Path) {
    val module: String = path.subpath(0, 2).toString()
    val name: String = path.nameWithoutExtension
    val text: String = path.readText()

    /** The class that holds the file's top-level functions. */
    val className: String get() = Regex("package ([\\w.]+)").find(text)?.groupValues?.get(1) + "." + name + "Kt"
}

/** Returns the main sources of all modules in the order of their paths. */
internal fun sourceFiles(): List<SourceFile> = listOf("libraries", "programs")
    .flatMap { Path.of(it).walk().toList() }
    .filter { it.extension == "kt" && "src/main/kotlin" in it.toString() }
    .sorted()
    .map { SourceFile(it) }
