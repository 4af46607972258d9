package org.parsleymoor.coordination

internal object Placeholder
