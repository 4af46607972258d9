package org.parsleymoor.operator

internal object Placeholder
