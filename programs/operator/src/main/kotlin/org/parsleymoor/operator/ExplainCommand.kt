package org.parsleymoor.operator

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import org.parsleymoor.clients.RequestHistory
import org.parsleymoor.clients.RequestStep
import org.parsleymoor.clients.RequestStepKind
import org.parsleymoor.core.RequestId

internal class ExplainCommand(connector: Connector) : OperatorCommand(
    connector,
    "explain",
    "Show each hop, choice and refusal of a request with its reason.",
    "explain 4b1f0e9a-53a0-4c8e-9c55-0d6d6a5a1f10",
) {
    private val request by argument("REQUEST-ID")

    override suspend fun execute(deployment: Deployment): Result<Report, OperatorFailure> =
        deployment.gateways().andThen { gateways ->
            val answers = deployment.ask(gateways) { it.history(RequestId(request)) }
            val steps = answers.mapNotNull { it.answer.get() }.flatMap { it.steps }.sortedBy { it.atMillis }
            if (steps.isEmpty()) Err(unknown()) else Ok(report(RequestHistory(RequestId(request), steps)))
        }

    private fun unknown() = OperatorFailure.NotFound(
        expected = "the id of a recent request, as in the header X-Request-Id of its answer",
        found = request,
        next = "parsleymoor status",
    )

    private fun report(history: RequestHistory): Report {
        val header = listOf("time", "instance", "step", "subject", "reason")
        return Report.of(RequestHistory.serializer(), history, textTable(header, history.steps.map(::row)))
    }

    private fun row(step: RequestStep): List<String> {
        val time = shownTime(step.atMillis)
        return listOf(time, step.instance.value, shown(step.kind), step.subject, step.reason)
    }

    private fun shown(kind: RequestStepKind): String = kind.name.lowercase()
}
