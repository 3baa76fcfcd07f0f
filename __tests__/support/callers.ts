/** Callers of a world, and the oracle: it knows only what callers sent and got, what endpoints ran, what operators were told. */
import {
    Deadline,
    Execution,
    fingerprint,
    Lane,
    laneOf,
    ObjectKind,
    ProvisionalOut,
    RequestFailure,
    ResponseChunk,
    systemClock,
} from "../../src/internal.js";
import { crashMarker, expectedResponse, hasCrashMarker } from "../../src/standins/expectedResponse.js";
import { FakeEntry, World } from "./world.js";

/** How a caller's request ended. */
export type CallerEnd =
    | { type: "Whole"; text: string; }
    | { type: "Failed"; failure: RequestFailure; text: string; }
    /** Its entry died; the caller's connection broke. */
    | { type: "Broken"; };

/** One request as its caller knows it. */
export interface CallerRequest {
    requestId: string;
    entry: FakeEntry;
    key: string | undefined;
    expected: string | undefined;
    sentAt: number;
    deadlineAt: number;
    endedAt: number | undefined;
    end: CallerEnd | undefined;
}

/** What to send. */
export interface GenerationPlan {
    tokens: number;
    answerTokens?: number;
    timeout?: number;
    poison?: boolean;
}

interface Told {
    kind: ProvisionalOut["kind"];
    name: string;
    /** When the operator was told that it is out; Infinity before. */
    outAt: number;
    /** When an operator asked for it back in. */
    until: number;
}

const charactersPerToken = 4;
/** Time after which an out must hold, and by which a request may miss its deadline through fake time's steps. */
const outHoldsAfterMilliseconds = 3_000;
const deadlineSlackMilliseconds = 300;
const inForceMilliseconds = 19_000;
const poisonStartsAtMost = 8;

/** Sends requests into a world and keeps what came of them. */
export class Callers {
    readonly requests: CallerRequest[] = [];
    /** Requests that carry a prompt which crashes engines, by prompt. */
    private readonly poisoned = new Map<string, string[]>();
    private readonly told: Told[] = [];
    /** Orders in that are being carried out, by what they concern: an out beside one of them promises nothing. */
    private readonly bringing = new Map<string, number>();
    private readonly accepted: { kind: ObjectKind; name: string; version: number; at: number; }[] = [];
    private readonly highest = new Map<string, number>();
    private readonly violations: string[] = [];
    private sent = 0;

    constructor(private readonly world: World) {}

    /** Starts a generation; its end is recorded. */
    generate(entry: FakeEntry, plan: GenerationPlan): CallerRequest {
        const answerTokens = plan.answerTokens ?? 20;
        const head = `${plan.poison ? crashMarker : ""}[[tokens=${answerTokens}]] number ${this.sent}`;
        return this.generatePrompt(entry, head.padEnd(plan.tokens * charactersPerToken, " x"), plan);
    }

    /** Starts a generation of a given prompt. */
    generatePrompt(entry: FakeEntry, prompt: string, plan: GenerationPlan): CallerRequest {
        const answerTokens = plan.answerTokens ?? 20;
        const timeout = plan.timeout ?? 30_000;
        const { node } = entry;
        const service = node.configuration.service("standin")!;
        const profile = node.configuration.profileOf(service);
        const request = this.begin(entry, timeout, undefined, expectedResponse(prompt, answerTokens));
        if (hasCrashMarker(prompt)) {
            this.poisoned.set(prompt, [...this.poisoned.get(prompt) ?? [], request.requestId]);
        }
        const promptTokens = Math.ceil(prompt.length / charactersPerToken);
        void this.follow(request, () =>
            node.generations.run({
                service,
                prompt,
                maximumTokens: answerTokens,
                work: {
                    requestId: request.requestId,
                    customer: "hartwell",
                    weight: 1,
                    service: "standin",
                    profile,
                    lane: laneOf(promptTokens, profile),
                    promptTokens,
                    memoryTokens: promptTokens + answerTokens,
                    fingerprint: fingerprint("standin", prompt),
                    idempotent: true,
                    deadline: this.deadline(entry, timeout),
                    signal: new AbortController().signal,
                },
            }));
        return request;
    }

    /** Starts a booking; with a key it must run at most once over all its repeats. */
    book(entry: FakeEntry, key: string | undefined, timeout = 10_000, place = "4"): CallerRequest {
        const { node } = entry;
        const request = this.begin(entry, timeout, key, undefined);
        const profile = node.configuration.profileOf(node.configuration.service("bookings"));
        const deadlineOf = () => this.deadline(entry, timeout);
        void this.follow(request, async function*(): AsyncGenerator<ResponseChunk, void> {
            const { answer } = await node.serviceCalls.run({
                nonIdempotent: true,
                request: {
                    method: "POST",
                    path: "/places",
                    body: Buffer.from(place),
                    requestId: request.requestId,
                    idempotencyKey: key,
                },
                work: {
                    requestId: request.requestId,
                    customer: "hartwell",
                    weight: 1,
                    service: "bookings",
                    profile,
                    lane: Lane.Short,
                    promptTokens: 10,
                    memoryTokens: 0,
                    fingerprint: fingerprint("bookings", key ?? request.requestId),
                    idempotent: false,
                    deadline: deadlineOf(),
                    signal: new AbortController().signal,
                },
            });
            yield { type: "Text", text: answer.body.toString("utf8"), tokens: 1 };
        });
        return request;
    }

    /** An operator takes something out, or brings it back in, at an entry. */
    async restrict(
        entry: FakeEntry,
        direction: "out" | "in",
        kind: ProvisionalOut["kind"],
        name: string,
    ): Promise<string> {
        const key = `${kind}/${name}`;
        if (direction === "in") {
            this.endOuts(kind, name);
            this.bringing.set(key, (this.bringing.get(key) ?? 0) + 1);
            const outcome = await entry.node.operations.bringIn(kind, name).catch(() => ({ type: "Failed" as const }));
            this.bringing.set(key, this.bringing.get(key)! - 1);
            return outcome.type;
        }
        const askedAt = systemClock.now();
        const out: Told = {
            kind,
            name,
            outAt: Infinity,
            until: (this.bringing.get(key) ?? 0) > 0 ? askedAt : Infinity,
        };
        this.told.push(out);
        const outcome = await entry.node.operations.takeOut(kind, name);
        out.outAt = systemClock.now();
        return outcome.type;
    }

    /** An operator changes a profile at an entry; an accepted change must stay and spread. */
    async change(entry: FakeEntry, name: string, shortPromptTokens: number): Promise<string> {
        try {
            const outcome = await entry.node.operations.change(ObjectKind.Profile, name, { shortPromptTokens });
            if (outcome.type === "Accepted") {
                const { version } = outcome;
                this.accepted.push({ kind: ObjectKind.Profile, name, version, at: systemClock.now() });
            }
            return outcome.type;
        }
        catch (error) {
            return (error as Error).name;
        }
    }

    /** Looks at what must hold at every moment. Call it often. */
    look(): void {
        const now = systemClock.now();
        for (const entry of this.world.entries) {
            for (const { kind, name, version, at } of this.accepted) {
                const held = entry.node.configuration.version(kind, name);
                const key = `${entry.node.incarnation}/${name}`;
                this.note(held >= (this.highest.get(key) ?? 0), `${entry.id} reverted ${name}`);
                this.highest.set(key, held);
                const settled = now - Math.max(at, entry.frozenUntil) > inForceMilliseconds;
                const able = entry.alive && !entry.stopped && !entry.gate.frozen && entry.node.ready && settled;
                this.note(!able || held >= version, `${entry.id} lacks accepted ${name} version ${version}`);
            }
        }
    }

    /** Everything that the promises forbid and that happened. `final` adds what must hold once all is quiet. */
    verdict(final: boolean): string[] {
        const found = [...this.violations];
        for (const request of this.requests) {
            found.push(...this.judge(request, final));
        }
        for (const [key, runs] of this.world.runs) {
            if (runs > 1) {
                found.push(`key ${key} ran ${runs} times`);
            }
        }
        for (const engine of this.world.engines) {
            const { coldOverloads, memoryUsedTokens } = engine.model;
            if (coldOverloads > 0) {
                found.push(`${engine.record.id} was overloaded while cold, ${coldOverloads} times`);
            }
            if (final && memoryUsedTokens > 0) {
                found.push(`${engine.record.id} still holds ${memoryUsedTokens} tokens`);
            }
        }
        return [...found, ...this.lateStarts(), ...this.poisonStarts()];
    }

    private deadline(entry: FakeEntry, timeout: number): Deadline {
        return new Deadline(entry.node.ports.clock, entry.ignoresDeadlines ? Number.MAX_SAFE_INTEGER : timeout);
    }

    private begin(
        entry: FakeEntry,
        timeout: number,
        key: string | undefined,
        expected: string | undefined,
    ): CallerRequest {
        const sentAt = systemClock.now();
        const request: CallerRequest = {
            requestId: `request${this.sent++}`,
            entry,
            key,
            expected,
            sentAt,
            deadlineAt: sentAt + timeout,
            endedAt: undefined,
            end: undefined,
        };
        this.requests.push(request);
        return request;
    }

    private async follow(request: CallerRequest, run: () => AsyncGenerator<ResponseChunk, void>): Promise<void> {
        const { node } = request.entry;
        let text = "";
        // A process that stands still reads no request before it goes on.
        await request.entry.gate.pass();
        node.activeRequests++;
        try {
            for await (const piece of run()) {
                text += piece.type === "Text" ? piece.text : "";
            }
            request.end ??= { type: "Whole", text };
        }
        catch (error) {
            if (!(error instanceof RequestFailure)) {
                this.violations.push(`${request.requestId} failed with ${String(error)}`);
                return;
            }
            request.end ??= { type: "Failed", failure: error, text };
        }
        finally {
            node.activeRequests--;
            request.endedAt = systemClock.now();
        }
    }

    private judge(request: CallerRequest, final: boolean): string[] {
        const { end, requestId } = request;
        if (!end) {
            // A caller whose entry died or stands still has a broken connection, not a late answer.
            const cut = (!request.entry.alive || request.entry.gate.frozen) && !request.entry.cutsAtStop;
            const late = systemClock.now() > request.deadlineAt + deadlineSlackMilliseconds;
            return (late || final) && !cut ? [`${requestId} has not ended`] : [];
        }
        const found: string[] = [];
        const undisturbed = request.entry.frozenUntil < request.sentAt;
        if (undisturbed && request.endedAt! > request.deadlineAt + deadlineSlackMilliseconds) {
            found.push(`${requestId} ended ${Math.round(request.endedAt! - request.deadlineAt)} ms late`);
        }
        if (end.type === "Whole" && request.expected !== undefined && end.text !== request.expected) {
            found.push(`${requestId} got another answer: ${end.text.length} of ${request.expected.length} characters`);
        }
        if (end.type === "Failed" && end.failure.execution === Execution.NotRun && this.ran(request)) {
            found.push(`${requestId} was told not-run and ran: ${end.failure.message}`);
        }
        return found;
    }

    private ran(request: CallerRequest): boolean {
        if (request.key !== undefined) {
            // Whoever repeats a key learns of the key, whichever of its requests ran.
            const before = this.world.services.flatMap(service => service.starts);
            const ids = this.requests.filter(other => other.key === request.key).map(other => other.requestId);
            return before.some(start => ids.includes(start.requestId) && start.at <= request.endedAt!);
        }
        return (this.world.runs.get(request.requestId) ?? 0) > 0
            || this.world.engines.some(engine => (engine.model.runs.get(request.requestId) ?? 0) > 0);
    }

    private endOuts(kind: ProvisionalOut["kind"], name: string): void {
        for (const out of this.told) {
            if (out.kind === kind && out.name === name) {
                out.until = Math.min(out.until, systemClock.now());
            }
        }
    }

    private lateStarts(): string[] {
        const found: string[] = [];
        for (const endpoint of [...this.world.engines, ...this.world.services]) {
            for (const out of this.told) {
                const concerned =
                    out.name === (out.kind === "dataCentre" ? endpoint.record.dataCentre : endpoint.record.id);
                for (const start of concerned ? endpoint.starts : []) {
                    if (start.at > out.outAt + outHoldsAfterMilliseconds && start.at < out.until) {
                        const after = Math.round(start.at - out.outAt);
                        found.push(
                            `${endpoint.record.id} got ${start.requestId} ${after} ms after ${out.name} went out`,
                        );
                    }
                }
            }
        }
        return found;
    }

    /** Copies that were under way together, and strikes that died with their entry, explain a few starts and no more. */
    private poisonStarts(): string[] {
        const found: string[] = [];
        const starts = this.world.engines.flatMap(engine => engine.starts);
        for (const [prompt, requestIds] of this.poisoned) {
            const count = starts.filter(start => requestIds.includes(start.requestId)).length;
            if (count > poisonStartsAtMost) {
                found.push(`"${prompt.slice(0, 24).trim()}" was started ${count} times`);
            }
        }
        return found;
    }

    private note(holds: boolean, violation: string): void {
        if (!holds && !this.violations.includes(violation)) {
            this.violations.push(violation);
        }
    }
}
