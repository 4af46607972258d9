package org.parsleymoor.trials

internal object Placeholder
