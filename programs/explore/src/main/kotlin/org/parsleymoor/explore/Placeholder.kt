package org.parsleymoor.explore

internal object Placeholder
