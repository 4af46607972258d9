package org.parsleymoor.placement

internal object Placeholder
