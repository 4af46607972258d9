package org.parsleymoor.execution

internal object Placeholder
