package org.parsleymoor.context

import org.parsleymoor.core.AdapterId
import org.parsleymoor.core.ModelId
import org.parsleymoor.core.OrganisationId
import org.parsleymoor.core.WeightVersion

/** What a cached block depends on besides its text. Blocks of different scopes never match. */
public data class ContextScope(
    public val organisation: OrganisationId,
    public val model: ModelId,
    public val version: WeightVersion,
    public val adapter: AdapterId = AdapterId.None,
)
