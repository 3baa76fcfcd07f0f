/** Signals to the serving program while it serves: each accepted request gets its answer. */
import { expect, test } from "vitest";
import { systemClock } from "../../src/utils/clock.js";
import { BookingProgram } from "./support/bookingProgram.js";
import type { EntryProcess } from "./support/entryProgram.js";
import { call, type CallerResponse, until } from "./support/site.js";

const workDuration = 1_000;
const signalInterval = 150;

const fixture = BookingProgram.setUp(workDuration);

/** Starts an entry and resolves once a booking runs. */
const startBooking = async (): Promise<{ running: EntryProcess; booking: Promise<CallerResponse | undefined>; }> => {
    const running = fixture.start();
    const { callers } = await running.started();
    await until(() => running.output.includes("A configuration is in force."));
    const booking = call(callers, "/places/a", { id: "booking" }).catch(() => undefined);
    await until(() => fixture.site.replicas.get("i-1")!.arrivals.length === 1);
    return { running, booking };
};

const sendInSeries = async ({ child }: EntryProcess, signals: readonly NodeJS.Signals[]): Promise<void> => {
    for (const signal of signals) {
        child.kill(signal);
        await systemClock.sleep(signalInterval);
    }
};

const series: readonly (readonly NodeJS.Signals[])[] = [
    ["SIGTERM", "SIGTERM"],
    ["SIGTERM", "SIGHUP", "SIGTERM", "SIGTERM"],
    ["SIGTERM", "SIGINT"],
    ["SIGINT"],
    ["SIGINT", "SIGINT"],
    ["SIGQUIT", "SIGTERM"],
    ["SIGHUP", "SIGTERM", "SIGHUP", "SIGQUIT"],
];

const ignoredSignals: readonly NodeJS.Signals[] = ["SIGUSR2", "SIGALRM", "SIGVTALRM", "SIGIO", "SIGSTKFLT"];

test.each(series.map(signals => ({ name: signals.join(", "), signals })))(
    "request in progress is answered after $name",
    async ({ signals }) => {
        // Guards against an accepted request that is lost because a signal to stop comes again, or isn't SIGTERM.
        const { running, booking } = await startBooking();
        await sendInSeries(running, signals);
        expect(await booking).toMatchObject({ status: 200, body: "booked", whole: true });
        expect(await running.exited).toBe(0);
    },
);

test("signals without a meaning for the program don't end it", async () => {
    // Guards against requests that are lost because log rotation or a timer sends a signal that ends a process by default.
    const { running, booking } = await startBooking();
    await sendInSeries(running, ignoredSignals);
    expect(await booking).toMatchObject({ status: 200, whole: true });
    expect(running.hasExited).toBe(false);
});

test("SIGTERM while the modules load ends the process as planned", async () => {
    // Guards against a process that ends by a signal during its start instead of with exit code 0.
    const code = `process.once("newListener", () => setImmediate(() => process.kill(process.pid, "SIGTERM")));`;
    const starting = fixture.start(fixture.preload("loading", code));
    expect(await starting.exited).toBe(0);
});

test("signals and the end of the process are logged", async () => {
    // Guards against a process that ends, and whose log and metrics don't tell why.
    const { running, booking } = await startBooking();
    await sendInSeries(running, ["SIGHUP", "SIGHUP", "SIGTERM"]);
    await booking;
    await running.exited;
    expect(running.output).toContain("\"signal\":\"SIGHUP\",\"count\":2");
    expect(running.output).toContain("\"signal\":\"SIGTERM\"");
    expect(running.output).toContain("process: The process ends after its planned stop.");
});
