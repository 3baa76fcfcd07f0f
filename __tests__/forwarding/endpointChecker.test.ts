/** Tests whom a check holds responsible where an attempt failed over a connection that another entry carried. */
import { expect, test } from "vitest";
import { AttemptPath } from "../../src/core/reachability/attemptPath.js";
import { EndpointChecker, EndpointCondition } from "../../src/core/reachability/endpointChecker.js";
import { LinkTracker } from "../../src/core/reachability/linkTracker.js";
import { Relays } from "../../src/core/reachability/relays.js";
import { ConnectionCheck, type EndpointPort } from "../../src/ports/forwardingPorts.js";
import { SimulatedClock } from "../../src/replay/simulatedClock.js";
import { silentLog } from "../../src/utils/log.js";
import { seededRandom } from "../../src/utils/random.js";
import { endpointRecord } from "./support/endpointRecord.js";

const { Accepted, Refused, NoResponse, RelayUnavailable } = ConnectionCheck;
const { Accepting, Refusing, Unresponsive, LinkLost, Unknown } = EndpointCondition;

const carrier = { id: "carrier", address: "carrier:1", incarnation: "1" };
const other = { id: "other", address: "other:1", incarnation: "1" };

interface CheckCase {
    name: string;
    /** What this entry and the others find when they connect. */
    own: ConnectionCheck;
    byCarrier: ConnectionCheck;
    byOther: ConnectionCheck;
    expected: EndpointCondition;
}

/** Checks an endpoint over a path by way of `carrier`. */
const checkCarried = async ({ own, byCarrier, byOther }: CheckCase, isCut: boolean): Promise<EndpointCondition> => {
    const clock = new SimulatedClock();
    const random = seededRandom(1);
    const endpointPort: EndpointPort = {
        onConnected: () => {},
        send: () => Promise.reject(new Error("nothing is sent")),
        checkConnection: (...[, , relay]) => {
            const isOther = relay === other.address;
            return Promise.resolve(relay === undefined ? own : isOther ? byOther : byCarrier);
        },
        isReplaced: () => Promise.resolve(false),
    };
    const links = new LinkTracker({ clock, random, log: silentLog, endpointPort, listed: () => [] });
    const peers = [carrier, other].map(identity => ({ identity, dataCentre: "north", reachesEndpoints: true }));
    const relays = new Relays({ clock, random, dataCentre: "north", livingPeers: () => peers });
    const checker = new EndpointChecker(clock, endpointPort, links, relays);
    const path = new AttemptPath();
    path.recordCarried(carrier);
    if (isCut) {
        path.recordCut();
    }
    const checked = checker.check(endpointRecord("e-1"), path);
    await clock.run(clock.now() + 1_000);
    return await checked;
};

const declaredEnds: CheckCase[] = [
    { name: "sound path", own: Refused, byCarrier: Accepted, byOther: Accepted, expected: Accepting },
    { name: "carrier lost its link", own: Refused, byCarrier: Refused, byOther: Accepted, expected: LinkLost },
    { name: "carrier ended since", own: Refused, byCarrier: RelayUnavailable, byOther: Accepted, expected: LinkLost },
    {
        name: "carrier ended, own link is back",
        own: Accepted,
        byCarrier: RelayUnavailable,
        byOther: Accepted,
        expected: LinkLost,
    },
    { name: "endpoint ended", own: Refused, byCarrier: Refused, byOther: Refused, expected: Refusing },
    {
        name: "endpoint ended, one carrier",
        own: Refused,
        byCarrier: Refused,
        byOther: RelayUnavailable,
        expected: Refusing,
    },
    {
        name: "endpoint lost power",
        own: NoResponse,
        byCarrier: NoResponse,
        byOther: NoResponse,
        expected: Unresponsive,
    },
    {
        name: "nobody connects",
        own: Refused,
        byCarrier: RelayUnavailable,
        byOther: RelayUnavailable,
        expected: Unknown,
    },
];

for (const checkCase of declaredEnds) {
    test(`end that the carrying entry declared, ${checkCase.name}`, async () => {
        // Guards against an endpoint that fails at each request and is found sound since another entry can connect to it.
        expect(await checkCarried(checkCase, false)).toBe(checkCase.expected);
    });
}

const cuts: CheckCase[] = [
    { name: "own link is back", own: Accepted, byCarrier: RelayUnavailable, byOther: Accepted, expected: LinkLost },
    { name: "own link is lost", own: Refused, byCarrier: RelayUnavailable, byOther: Accepted, expected: LinkLost },
    { name: "endpoint ended too", own: Refused, byCarrier: RelayUnavailable, byOther: Refused, expected: Refusing },
];

for (const checkCase of cuts) {
    test(`end of the carrying entry, ${checkCase.name}`, async () => {
        // Guards against a sound endpoint that all entries avoid because an entry that carried its responses was killed.
        expect(await checkCarried(checkCase, true)).toBe(checkCase.expected);
    });
}
