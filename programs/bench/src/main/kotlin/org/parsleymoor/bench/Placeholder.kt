package org.parsleymoor.bench

internal object Placeholder
