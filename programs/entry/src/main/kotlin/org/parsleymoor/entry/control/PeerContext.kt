package org.parsleymoor.entry.control

import org.parsleymoor.entry.EntrySettings
import org.parsleymoor.entry.serving.DeploymentView

/** Dependencies shared by the parts that communicate with peers. */
internal class PeerContext(
    val settings: EntrySettings,
    val deployment: DeploymentView,
    val membership: Membership,
    val era: StoreEra,
    private val runtime: ControlRuntime,
) {
    val ticks get() = runtime.ticks
    val log get() = runtime.log
    val clock get() = runtime.clock
}
