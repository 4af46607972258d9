package org.parsleymoor.limits

internal object Placeholder
