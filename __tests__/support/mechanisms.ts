/**
 * Disables single mechanisms of an entry by replacing their methods. Tests show with it that the oracle detects the failure
 * that each mechanism prevents.
 */
import { ClaimProgress, Execution, FailureKind, HeldClaim, RequestFailure } from "../../src/internal.js";
import { FakeEntry } from "./world.js";

type Replacement = (...parameters: never[]) => unknown;

/** Replaces one method of an object, which may be private. Throws if there is no such method. */
const override = (target: object, method: string, replacement: Replacement): void => {
    if (!(method in target)) {
        throw new Error(`there is no method ${method} to replace`);
    }
    Object.defineProperty(target, method, { value: replacement, configurable: true });
};

const overrideGetter = (target: object, property: string, value: () => unknown): void => {
    Object.defineProperty(target, property, { get: value, configurable: true });
};

const emptyClaim = (): HeldClaim => ({ name: "", version: 0, value: {} as never });

/** Disables one mechanism of an entry, by the mechanism's name. */
export const switchOff = {
    claims: (entry: FakeEntry): void => {
        const { claims } = entry.node;
        override(claims, "claim", () => Promise.resolve({ type: "Held", claim: emptyClaim() }));
        override(claims, "storeOutcome", () => Promise.resolve());
        override(claims, "releaseUnsent", () => Promise.resolve());
    },
    /** Takes over the claims of unresponsive holders, as with an expired lease. */
    claimsStayWithHolder: (entry: FakeEntry): void => {
        override(entry.node.claims, "holderProgress", () => Promise.resolve(ClaimProgress.Released));
    },
    keyHistory: (entry: FakeEntry): void => {
        override(
            entry.node.claims,
            "outageFailure",
            () => Promise.resolve(new RequestFailure(FailureKind.PlatformDown, Execution.NotRun, "outage", 1)),
        );
    },
    /** Retries calls whose response was lost, even if they aren't idempotent. */
    sentOnce: (entry: FakeEntry): void => {
        override(entry.node.serviceCalls, "checkRepeatable", () => undefined);
    },
    homes: (entry: FakeEntry): void => {
        override(entry.node.homes, "mayAct", () => true);
    },
    homeLease: (entry: FakeEntry): void => {
        override(entry.node.homes, "leaseEnd", () => Infinity);
        override(entry.node.guard, "isFresh", () => true);
    },
    handOver: (entry: FakeEntry): void => {
        override(entry.node.homes, "homeSince", () => -Infinity);
    },
    suspicion: (entry: FakeEntry): void => {
        override(entry.node.table, "suspect", () => undefined);
    },
    coldUnknown: (entry: FakeEntry): void => {
        override(entry.node.table, "trust", () => ({ type: "Warm" }));
    },
    deadline: (entry: FakeEntry): void => {
        entry.ignoresDeadlines = true;
    },
    frameOffsets: (entry: FakeEntry): void => {
        override(
            entry.node.generations,
            "acceptFrame",
            (frame: { type: string; text: string; count: number; }) =>
                frame.type === "Tokens"
                    ? { type: "Text", text: frame.text, tokens: frame.count }
                    : { type: "End", finishReason: "stop", tokens: 0 },
        );
    },
    provisionalOuts: (entry: FakeEntry): void => {
        override(entry.node.operations, "applyOuts", () => undefined);
    },
    restrictions: (entry: FakeEntry): void => {
        override(entry.node.restrictions, "forbids", () => false);
    },
    pauseGuard: (entry: FakeEntry): void => {
        override(entry.node.guard, "isFresh", () => true);
    },
    versionsOnlyRise: (entry: FakeEntry): void => {
        const { configuration } = entry.node;
        const objects = (configuration as unknown as { objects: Map<string, object>; }).objects;
        override(configuration, "applyObject", (object: { kind: string; name: string; }) => {
            objects.set(`${object.kind}/${object.name}`, object);
            return true;
        });
        override(configuration, "mergeList", (page: { objects: { kind: string; name: string; }[]; }) => {
            for (const object of page.objects) {
                objects.set(`${object.kind}/${object.name}`, object);
            }
            overrideGetter(configuration, "loaded", () => true);
            return { type: "Merged" };
        });
    },
    reclaim: (entry: FakeEntry): void => {
        override(entry.node.holdings, "reclaim", () => Promise.resolve());
    },
    suspects: (entry: FakeEntry): void => {
        override(entry.node.suspects, "isRejected", () => false);
    },
    drain: (entry: FakeEntry): void => {
        override(entry.node, "drain", () => {
            entry.cutsAtStop = true;
            entry.gate.freeze();
            entry.node.stop();
            return Promise.resolve();
        });
    },
} satisfies Record<string, (entry: FakeEntry) => void>;

/** Name of a mechanism that can be disabled. */
export type Mechanism = keyof typeof switchOff;
