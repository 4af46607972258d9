package org.parsleymoor.operator

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.completion.SuspendingCompletionCommand
import com.github.ajalt.clikt.core.subcommands
import org.parsleymoor.configuration.PlacementState

/** Returns the whole command line; [connector] opens the deployment that a command's settings name. */
internal fun parsleymoorCommand(connector: Connector): SuspendingCliktCommand =
    CommandGroup("parsleymoor", "Control a parsleymoor deployment.", "status").subcommands(
        ApplyCommand(connector),
        DiffCommand(connector),
        GetCommand(connector),
        DescribeCommand(connector),
        StatusCommand(connector),
        ValidateCommand(),
        zoneCommands(connector),
        endpointCommands(connector),
        rolloutCommands(connector),
        ExplainCommand(connector),
        CapacityCommand(connector),
        SuspendingCompletionCommand(name = "completion", help = "Print the completion script of a shell."),
    )

private fun zoneCommands(connector: Connector) =
    CommandGroup("zone", "Take an availability zone out of service or bring it back.", "zone out north-a").subcommands(
        ZoneCommand(connector, "out", PlacementState.OUT, "Send no new work to a zone and move its queued work."),
        ZoneCommand(connector, "back", PlacementState.IN, "Send work to a zone again."),
    )

private fun endpointCommands(connector: Connector) =
    CommandGroup("endpoint", "Drain endpoints or bring them back.", "endpoint drain engine-1").subcommands(
        EndpointCommand(connector, "drain", PlacementState.DRAIN, "Let endpoints finish their work and get no more."),
        EndpointCommand(connector, "back", PlacementState.IN, "Send work to endpoints again."),
    )

private fun rolloutCommands(connector: Connector) =
    CommandGroup("rollout", "Move the engines of a model to another version.", "rollout start leaf 2").subcommands(
        RolloutStartCommand(connector),
        RolloutStatusCommand(connector),
        RolloutEndCommand(connector, "finish", true, "Use the version of a rollout for new requests."),
        RolloutEndCommand(connector, "undo", false, "Return the engines of a rollout to the version before it."),
    )
