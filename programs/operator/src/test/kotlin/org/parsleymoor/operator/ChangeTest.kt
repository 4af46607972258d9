package org.parsleymoor.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.parsleymoor.clients.PlatformClient
import org.parsleymoor.clients.PlatformFailure
import org.parsleymoor.clients.StoredObject
import org.parsleymoor.configuration.ConfigurationRoot
import org.parsleymoor.standins.PlatformFaults
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlin.io.path.copyTo
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readText
import kotlin.io.path.writeText

class ChangeTest {
    @TempDir
    lateinit var directory: Path

    private val bench by lazy { OperatorBench(directory) }

    @AfterEach
    fun close() = bench.close()

    @Test
    fun `an applied directory is in effect on every gateway`(): Unit = runBlocking {
        val applied = bench.run("apply examples/tally")
        expectThat(applied.statusCode).isEqualTo(0)
        expectThat(applied.stdout).contains("revision 1 in effect on 3 of 3 instances")
        expectThat(bench.gateways.map { it.status().get()?.revision }).containsExactly(1, 1, 1)
    }

    @Test
    fun `a directory with one mistake is refused whole`(): Unit = runBlocking {
        val declarations = directory.resolve("declarations").also { it.toFile().mkdir() }
        Path.of("examples/tally").listDirectoryEntries().forEach { it.copyTo(declarations.resolve(it.fileName)) }
        val models = declarations.resolve("models.toml")
        models.writeText(models.readText().replace("selector = \"model=leaf\"", "selector = \"model\""))
        val applied = bench.run("apply $declarations --yes")
        expectThat(applied.statusCode).isEqualTo(ExitStatus.INVALID.code)
        expectThat(applied.stderr).contains("model.selector: expected terms like region=north")
        expectThat(bench.platform.read("configuration", "root").get()).isNull()
    }

    @Test
    fun `of two operators who change the same revision one wins and the other is told whose change it was`() {
        val results = runBlocking {
            bench.run("apply examples/tally")
            val both = MeetingPlatform(bench.platform)
            listOf("ada" to "zone out north-a", "grace" to "zone out south-a")
                .map { (operator, line) -> async { bench.run(line, operator, both) } }.awaitAll()
        }
        expectThat(results.map { it.statusCode }).containsExactlyInAnyOrder(0, ExitStatus.CONFLICT.code)
        val winner = if (results.first().statusCode == 0) {
            "ada made the change \"zone north-a out\""
        } else {
            "grace made the change \"zone south-a out\""
        }
        expectThat(results.first { it.statusCode != 0 }.stderr)
            .contains("expected revision 1, found revision 2: $winner")
        expectThat(runBlocking { bench.run("get zones --selector state=out").stdout.lines().size }).isEqualTo(3)
    }

    @Test
    fun `a change whose response was lost is made once and reported as made`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        bench.fail(PlatformFaults(loseWriteResponses = 2))
        val changed = bench.run("zone out north-a")
        expectThat(changed.statusCode).isEqualTo(0)
        expectThat(changed.stdout).contains("revision 2 in effect")
        expectThat(root().recent.map { it.change }).containsExactly("zone north-a out", "apply of tally")
    }

    @Test
    fun `a lost response is recognised under a later change of another operator`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        val overtaken = OvertakenPlatform(bench.platform) { bench.run("zone out south-a", "grace") }
        val changed = bench.run("zone out north-a", "ada", overtaken)
        expectThat(changed.statusCode).isEqualTo(0)
        expectThat(root().recent.map { it.author }).containsExactly("grace", "ada", "ada")
    }

    @Test
    fun `nothing is changed while the platform is down`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        bench.fail(PlatformFaults(down = true))
        val changed = bench.run("zone out north-a")
        expectThat(changed.statusCode).isEqualTo(ExitStatus.UNREACHABLE.code)
        expectThat(changed.stderr).contains("next: parsleymoor status")
        bench.fail(PlatformFaults())
        expectThat(root().revision).isEqualTo(1)
    }

    @Test
    fun `an instance that stays behind is named`(): Unit = runBlocking {
        bench.gateways[1].isStuck = true
        bench.gateways[2].isDown = true
        val applied = bench.run("apply examples/tally")
        expectThat(applied.statusCode).isEqualTo(ExitStatus.LAGGING.code)
        expectThat(applied.stderr).contains("gateway-2 (revision 0), 127.0.0.1:7093 (no answer)")
    }

    @Test
    fun `taking out the last zone needs a confirmation`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        bench.run("zone out north-a")
        bench.run("zone out north-b")
        val refused = bench.run("zone out south-a")
        expectThat(refused.statusCode).isEqualTo(ExitStatus.UNCONFIRMED.code)
        expectThat(refused.stdout).contains("danger: takes the last zone in service out (south-a)")
        expectThat(root().revision).isEqualTo(3)
        expectThat(bench.run("zone out south-a --yes").statusCode).isEqualTo(0)
    }

    @Test
    fun `a drain whose selector matches everything or nothing needs a confirmation`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        val all = bench.run("endpoint drain --selector region!=east")
        expectThat(all.statusCode).isEqualTo(ExitStatus.UNCONFIRMED.code)
        expectThat(
            all.stdout
        ).contains("danger: the selector \"region!=east\" of this command matches all 13 endpoints")
        val none = bench.run("endpoint drain --selector region=east")
        expectThat(none.stdout).contains("danger: the selector \"region=east\" of this command matches nothing")
        expectThat(root().revision).isEqualTo(1)
    }

    @Test
    fun `a change that leaves less capacity than today's load needs a confirmation`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        bench.gateways.forEach { it.running = 30 }
        val refused = bench.run("zone out north-a")
        expectThat(refused.statusCode).isEqualTo(ExitStatus.UNCONFIRMED.code)
        expectThat(refused.stdout).contains("danger: leaves 80 places for model leaf, which has 90 requests now")
    }

    @Test
    fun `a zone that was taken out stays out when the declarations are applied again`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        bench.run("zone out north-a")
        expectThat(bench.run("apply examples/tally").stdout).contains("nothing to change")
        expectThat(bench.run("zone back north-a").statusCode).isEqualTo(0)
    }

    @Test
    fun `a dry run shows the plan and changes nothing`(): Unit = runBlocking {
        val planned = bench.run("apply examples/tally --dry-run")
        expectThat(planned.stdout).contains("+ zone north-a").contains("dry run: nothing was changed")
        expectThat(bench.platform.list("configuration").get()).isEqualTo(emptyList())
    }

    @Test
    fun `an unknown name is refused with the names that exist`(): Unit = runBlocking {
        bench.run("apply examples/tally")
        val refused = bench.run("zone out north-z")
        expectThat(refused.statusCode).isEqualTo(ExitStatus.NOT_FOUND.code)
        expectThat(refused.stderr)
            .contains("expected the name of a zone (one of north-a, north-b, south-a), found \"north-z\"")
            .contains("next: parsleymoor get zones")
    }

    private suspend fun root(): ConfigurationRoot {
        val stored = bench.platform.read(ConfigurationRoot.KIND, ConfigurationRoot.NAME).get()
        return requireNotNull(ConfigurationRoot.parse(requireNotNull(stored).value).get())
    }
}

/** Lets two operators read the root before either writes it. */
private class MeetingPlatform(private val platform: PlatformClient) : PlatformClient by platform {
    private val readers = AtomicInteger()
    private val met = CompletableDeferred<Unit>()

    override suspend fun read(kind: String, name: String): Result<StoredObject?, PlatformFailure> {
        val read = platform.read(kind, name)
        if (name == ConfigurationRoot.NAME && readers.incrementAndGet() == 2) met.complete(Unit)
        if (name == ConfigurationRoot.NAME) met.await()
        return read
    }
}

/** Loses the answer to the first write of the root, and lets another operator change it before it is read back. */
private class OvertakenPlatform(
    private val platform: PlatformClient,
    private val overtake: suspend () -> Unit,
) : PlatformClient by platform {
    private var lost = false

    override suspend fun write(
        kind: String,
        name: String,
        value: String,
        expectedVersion: Long,
        writeId: String,
    ): Result<Long, PlatformFailure> {
        val written = platform.write(kind, name, value, expectedVersion, writeId)
        if (name != ConfigurationRoot.NAME || lost) return written
        lost = true
        overtake()
        return Err(PlatformFailure.Unavailable("the answer was lost", mayHaveTakenEffect = true))
    }
}
