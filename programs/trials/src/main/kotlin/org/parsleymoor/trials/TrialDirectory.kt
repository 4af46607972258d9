package org.parsleymoor.trials

import java.nio.file.Files
import java.nio.file.Path

/** The root of the checkout that `bin/launch` was started from. */
internal val checkoutRoot: Path get() = Path.of(System.getProperty("parsleymoor.root", "."))

/** A directory for the files of the run [name], which no other process uses. */
internal fun trialDirectory(name: String): Path =
    Files.createDirectories(checkoutRoot.resolve("target")).resolve("$name-${ProcessHandle.current().pid()}")
