/** Keeps the crashes of endpoints and the requests that were present at each. */
import type { CrashReport } from "../../ports/peerChannelPort.js";
import type { Clock, Milliseconds } from "../../utils/clock.js";
import type { CrashedRequest } from "./crashDetector.js";
import { HeadIndex } from "./headIndex.js";
import type { RequestFingerprint } from "./requestFingerprint.js";

/** A crash is forgotten after this time. */
export const crashLifetime: Milliseconds = 15 * 60_000;
/** Maximum number of crashes, the newest, some 1.3 MB with 16 requests each. */
const maximumCrashCount = 512;

/** How long a crash is sent to other entries. */
const sharingDuration: Milliseconds = 30_000;
/** Most crashes in one heartbeat, the newest, and most requests of each, some 14 kB. */
const maximumSharedCount = 16;
const maximumSharedRequestCount = 16;

/** Most prompt parts of one crash that are kept, those of all requests that an endpoint runs or queues. */
const maximumPartCount = 64;
/** Most prompt parts of one crash in a heartbeat: those present at most crashes. Many are present at one crash only. */
const maximumSharedPartCount = 12;

/** How a prompt part was present at a crash. */
export interface PartPresence {
    /** Whether it was sent to find out whether it crashes endpoints. */
    isTrial: boolean;
}

/** The crash of one endpoint process. */
export interface Crash {
    endpoint: string;
    incarnation: number;
    /** On the local clock. */
    at: Milliseconds;
    /** How long the endpoint had been serving each request, by fingerprint. */
    servedFor: ReadonlyMap<string, Milliseconds>;
    /** The shared parts of the prompts that were present and may have caused the crash. */
    parts: ReadonlyMap<string, PartPresence>;
    /** The data centre of an endpoint that fell silent; undefined where it refused connections or was replaced. */
    silentIn?: string;
    /** The entry that reported the crash; undefined where this entry detected it. */
    heardFrom: string | undefined;
}

const keyOf = ({ endpoint, incarnation }: Pick<Crash, "endpoint" | "incarnation">): string =>
    `${endpoint}/${incarnation}`;

/** The crashes that this entry knows. */
export class CrashLog {
    private readonly crashByKey = new Map<string, Crash>();
    private readonly heads = new HeadIndex(() =>
        [...this.crashByKey.values()].flatMap(({ servedFor }) => [...servedFor.keys()])
    );

    private crashesByPart: Map<string, Crash[]> | undefined;

    constructor(private readonly clock: Clock) {}

    get isEmpty(): boolean {
        return this.crashByKey.size === 0;
    }

    /** Parts of prompts that were present at crashes. */
    get parts(): Iterable<string> {
        return this.partIndex.keys();
    }

    /** The crashes at which a prompt with `part` was present. */
    crashesWithPart(part: string): readonly Crash[] {
        return this.partIndex.get(part) ?? [];
    }

    /** All crashes that have not expired. */
    all(): Crash[] {
        this.removeExpired();
        return [...this.crashByKey.values()];
    }

    get(crash: Pick<Crash, "endpoint" | "incarnation">): Crash | undefined {
        return this.crashByKey.get(keyOf(crash));
    }

    /** The crashes at which `request` was present. */
    crashesOf(request: string): Crash[] {
        return this.all().filter(({ servedFor }) => servedFor.has(request));
    }

    /** Whether a request with this fingerprint may have been present at a crash; decided by its head. */
    mayConcern({ head }: RequestFingerprint): boolean {
        return this.crashByKey.size > 0 && this.heads.has(head);
    }

    /**
     * Adds a crash, or the further requests of a known one: each entry knows of its own requests only. Returns whether
     * anything was new.
     */
    add(crash: Crash): boolean {
        if (this.clock.now() - crash.at >= crashLifetime) {
            return false;
        }
        const key = keyOf(crash);
        const known = this.crashByKey.get(key);
        const servedFor = new Map([...crash.servedFor, ...known?.servedFor ?? []]);
        const parts = mergeParts(known?.parts, crash.parts);
        const hasNewPart = known !== undefined
            && [...parts].some(([part, { isTrial }]) => isTrial !== known.parts.get(part)?.isTrial);
        if (servedFor.size === known?.servedFor.size && !hasNewPart) {
            return false;
        }
        this.crashByKey.set(key, { ...crash, ...known, servedFor, parts });
        this.invalidate();
        this.removeExpired();
        return true;
    }

    private partsToShare({ parts }: Crash): string[] {
        const countOf = (part: string) => this.crashesWithPart(part).length;
        return [...parts.keys()].sort((left, right) => countOf(right) - countOf(left)).slice(0, maximumSharedPartCount);
    }

    private invalidate(): void {
        this.heads.invalidate();
        this.crashesByPart = undefined;
    }

    private get partIndex(): Map<string, Crash[]> {
        this.crashesByPart ??= indexByPart(this.crashByKey.values());
        return this.crashesByPart;
    }

    /** Returns the newest crashes in the form of a heartbeat. */
    recentReports(): CrashReport[] {
        const now = this.clock.now();
        return this.all().filter(({ at }) => now - at < sharingDuration)
            .slice(-maximumSharedCount).map(crash => toReport(crash, this.partsToShare(crash), now));
    }

    private removeExpired(): void {
        const now = this.clock.now();
        for (const [key, { at }] of this.crashByKey) {
            if (now - at >= crashLifetime) {
                this.delete(key);
            }
        }
        while (this.crashByKey.size > maximumCrashCount) {
            this.delete(this.crashByKey.keys().next().value!);
        }
    }

    private delete(key: string): void {
        this.crashByKey.delete(key);
        this.invalidate();
    }
}

/** Converts requests that were present at a crash to how long each was served. */
export const mapServedFor = (
    requests: readonly Pick<CrashedRequest, "request" | "servedFor">[],
): Map<string, Milliseconds> => new Map(requests.map(({ request, servedFor }) => [request, servedFor]));

/** Collects the parts of the requests that an endpoint may have crashed by. */
export const collectParts = (requests: readonly CrashedRequest[]): Map<string, PartPresence> => {
    let parts: ReadonlyMap<string, PartPresence> = new Map();
    for (const { suspectParts } of [...requests].sort((left, right) => left.servedFor - right.servedFor)) {
        parts = mergeParts(parts, suspectParts);
    }
    return new Map(parts);
};

const mergeParts = (
    known: ReadonlyMap<string, PartPresence> | undefined,
    others: ReadonlyMap<string, PartPresence>,
): Map<string, PartPresence> => {
    const merged = new Map(known);
    for (const [part, { isTrial }] of others) {
        const present = merged.get(part);
        if (present !== undefined || merged.size < maximumPartCount) {
            merged.set(part, { isTrial: isTrial || present?.isTrial === true });
        }
    }
    return merged;
};

const indexByPart = (crashes: Iterable<Crash>): Map<string, Crash[]> => {
    const index = new Map<string, Crash[]>();
    for (const crash of crashes) {
        for (const part of crash.parts.keys()) {
            const known = index.get(part);
            if (known) {
                known.push(crash);
            }
            else {
                index.set(part, [crash]);
            }
        }
    }
    return index;
};

/** The requests served shortest come first, because they are the likely causes. */
const toReport = (
    { endpoint, incarnation, at, servedFor, parts, silentIn }: Crash,
    sharedParts: string[],
    now: Milliseconds,
): CrashReport => ({
    endpoint,
    incarnation,
    age: Math.round(now - at),
    requests: [...servedFor].sort(([, left], [, right]) => left - right)
        .slice(0, maximumSharedRequestCount).map(([request, duration]) => ({
            request,
            servedFor: Math.round(duration),
        })),
    silentIn,
    parts: sharedParts,
    trialParts: sharedParts.filter(part => parts.get(part)!.isTrial),
});

/** Converts the parts that another entry reported. */
export const partsOfReport = ({ parts = [], trialParts = [] }: CrashReport): Map<string, PartPresence> =>
    new Map(parts.map(part => [part, { isTrial: trialParts.includes(part) }]));
