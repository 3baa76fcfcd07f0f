/** Tests over sockets that requests with a prompt part that crashes endpoints are kept from them. */
import { afterEach, beforeEach, expect, test } from "vitest";
import { parseSharedParts } from "../../platform/promptParts.js";
import type { ReplicaServer } from "../../platform/standins/replicaServer.js";
import { survivalDuration } from "../../src/core/quarantine/partSurvivals.js";
import { systemClock } from "../../src/utils/clock.js";
import { CutEndpointPort } from "./support/cutEndpointPort.js";
import { call, type CallerResponse, generation, Site, type SiteEntry, until } from "./support/site.js";

let site: Site;
let entry: SiteEntry;
let replicas: ReplicaServer[];

beforeEach(async () => {
    site = new Site();
    replicas = [];
    for (let index = 0; index < 8; index++) {
        replicas.push(await site.replica(`m-${index}`, "models"));
    }
    site.configure(1);
    entry = await site.start("entry-1", true, { firstStart: true });
});

afterEach(() => site.close());

const rejectedStatus = 503;
let nextBody = 0;

/** Sends a request that differs from all others; the last of its parts is its own. */
const callWithParts = (parts: string, target = "/once/a"): Promise<CallerResponse> => {
    nextBody++;
    const headers = { ...generation(1_000, 400), "dandelionramp-prompt-prefix": `${parts},${nextBody}abc:100` };
    return call(entry.callers, target, { headers, body: `body ${nextBody}` }).catch(
        () => ({ status: 0 } as CallerResponse),
    );
};

const hasBrokenPart = (prefix: string | undefined): boolean => (prefix ?? "").includes("badbad");

enum Reaction {
    Crash = "crash",
    Refuse = "refuse",
}

const onBrokenPart = (reaction: Reaction): void => {
    for (const replica of replicas) {
        replica.fault = ({ headers, id }, response, own) => {
            if (!hasBrokenPart(headers["dandelionramp-prompt-prefix"])) {
                return false;
            }
            switch (reaction) {
                case Reaction.Crash:
                    own.crash();
                    return true;
                case Reaction.Refuse:
                    response.writeHead(400, own.responseHeaders(id)).end("no");
                    return true;
            }
        };
    }
};

const brokenArrivals = (): number =>
    replicas.flatMap(({ arrivals }) => arrivals)
        .filter(({ headers }) => hasBrokenPart(headers["dandelionramp-prompt-prefix"])).length;

const linesWith = (text: string) => site.lines.filter(({ message }) => message.includes(text));

/** Sends requests with the broken part until `count` endpoints have crashed; some are rejected between two trials. */
const crash = async (count: number): Promise<void> => {
    for (let index = 0; index < count; index++) {
        let status = rejectedStatus;
        while (status === rejectedStatus) {
            ({ status } = await callWithParts("1234:800,badbad:40"));
        }
        await until(() => linesWith("An endpoint crashed").length > index);
        // An entry that finds only crashed endpoints when it checks one of them concludes nothing.
        site.store.model.remove("servers", String(linesWith("An endpoint crashed").at(-1)!.fields.endpoint));
    }
};

/** Has a sound request served, and waits until its endpoint has survived it. */
const serveCompanion = async (): Promise<void> => {
    expect((await callWithParts("1234:800")).status).toBe(200);
    await systemClock.sleep(survivalDuration + 100);
};

const untilQuarantined = (content: string): Promise<void> =>
    until(() => linesWith("A request is quarantined").some(({ fields }) => fields.content === content));

test("companion that only such requests had is served, and no longer blamed", async () => {
    // Guards against sound requests that are refused because nothing has told two parts apart yet.
    onBrokenPart(Reaction.Crash);
    await crash(5);
    await untilQuarantined("parts:1234+badbad");
    await serveCompanion();
    expect((await callWithParts("badbad:40,99:1")).status).toBe(503);
    expect((await callWithParts("1234:800,77:1")).status).toBe(200);
    expect(brokenArrivals()).toBe(5);
});

test("part is refused after the fifth crash, and its companion is served", async () => {
    await serveCompanion();
    onBrokenPart(Reaction.Crash);
    await crash(5);
    await untilQuarantined("parts:badbad");
    const refused = await callWithParts("badbad:40,99:1");
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({ execution: "not-run" });
    expect(Number(refused.headers["retry-after"])).toBeGreaterThan(1);
    expect(brokenArrivals()).toBe(5);
    expect((await callWithParts("1234:800")).status).toBe(200);
    await until(() => site.store.model.list("quarantined", "", 10).objects.length === 1);
});

test("prompt that an endpoint served behind another entry clears its parts", async () => {
    // Guards against sound requests that are refused for longer at an entry that lost its links.
    const links = new CutEndpointPort();
    const cut = await site.start("cut", true, { endpointPort: links, seeds: [entry.peers] });
    await until(() => site.entries.every(({ entry: { livingCount } }) => livingCount === 2));
    onBrokenPart(Reaction.Crash);
    await crash(3);
    links.isCut = true;
    entry = cut;
    const trialCount = () => linesWith("suspect parts is tried").filter(line => line.entry === "cut").length;
    for (let count = 0; count < 50 && trialCount() === 0; count++) {
        await callWithParts("1234:800");
    }
    expect(trialCount()).toBe(1);
    await systemClock.sleep(survivalDuration + 500);
    expect((await callWithParts("1234:800")).status).toBe(200);
    expect(trialCount()).toBe(1);
});

test("failure of an endpoint without a stream clears no part", async () => {
    // Guards against a part that returns to service because an endpoint refused the request before it wrote anything.
    onBrokenPart(Reaction.Crash);
    await crash(3);
    onBrokenPart(Reaction.Refuse);
    await callWithParts("badbad:40");
    await callWithParts("badbad:40");
    expect(linesWith("A prompt with suspect parts is tried.").length).toBe(2);
});

test("shared parts are all but the last", () => {
    expect(parseSharedParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250")).toEqual(["5c1e07a2", "91bd3f06"]);
    expect(parseSharedParts("5c1e07a2:800")).toEqual([]);
    expect(parseSharedParts(undefined)).toEqual([]);
    expect(parseSharedParts("a:1,a:1, b :2,,c:1")).toEqual(["a", "b"]);
});

test("odd and endless lists of parts stay small", () => {
    const long = parseSharedParts(`${"x".repeat(4_000)}:1,a+b:1,c:1`);
    expect(long).toHaveLength(2);
    expect(long.every(part => /^[\w-]{1,16}$/.test(part))).toBe(true);
    expect(parseSharedParts(Array.from({ length: 1_000 }, (...[, index]) => `p${index}:1`).join(","))).toHaveLength(32);
});
