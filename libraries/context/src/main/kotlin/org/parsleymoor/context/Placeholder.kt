package org.parsleymoor.context

internal object Placeholder
