/** A small fleet on real sockets in one process, for end-to-end tests. */
import { readFileSync } from "node:fs";
import {
    Entry,
    entrySettingsSchema,
    InstanceRole,
    InstanceState,
    parseSettings,
    seededRandom,
    startEntry,
    StoredObject,
    systemClock,
} from "../../src/internal.js";
import { defaultEngineShape, EngineShape } from "../../src/standins/engineModel.js";
import { EngineStandIn, startEngine } from "../../src/standins/engineServer.js";
import { PlatformStandIn, startPlatform } from "../../src/standins/platformServer.js";
import { defaultServiceShape } from "../../src/standins/serviceModel.js";
import { ServiceStandIn, startService } from "../../src/standins/serviceServer.js";

const anyPort = "127.0.0.1:0";
const dataCentres = ["north", "east", "south"];

/** The size of the fleet. */
export interface FleetPlan {
    entries?: number;
    engines?: number;
    services?: number;
    shape?: Partial<EngineShape>;
    /** Body limit of the entries, in bytes. */
    bodyBytes?: number;
}

/** The processes of a running fleet. */
export interface Fleet {
    platform: PlatformStandIn;
    engines: EngineStandIn[];
    services: ServiceStandIn[];
    entries: Entry[];
    /** Number of runs of each idempotency key over all replicas of the plain services. */
    runs: Map<string, number>;
    close(): Promise<void>;
}

const exampleObjects = (): StoredObject[] =>
    JSON.parse(readFileSync(new URL("../../examples/objects.json", import.meta.url), "utf8")) as StoredObject[];

const settingsText = (index: number, platform: string, bodyBytes: number): string =>
    `[instance]\nid = entry-${index + 1}\ndataCentre = ${dataCentres[index % 3]}\n`
    + `[listen]\ncallers = ${anyPort}\npeers = ${anyPort}\noperators = ${anyPort}\n`
    + `[platform]\naddress = ${platform}\n[limits]\nbodyBytes = ${bodyBytes}\n`;

/** Starts a fleet and waits until every entry has received a report from every endpoint. */
export const startFleet = async (plan: FleetPlan): Promise<Fleet> => {
    const random = seededRandom(7);
    const platform = await startPlatform(anyPort, systemClock, exampleObjects());
    platform.model.faults.listLagMilliseconds = 0;
    const engines: EngineStandIn[] = [];
    const services: ServiceStandIn[] = [];
    const runs = new Map<string, number>();
    const shape = { ...defaultEngineShape, stepMilliseconds: 2, startWarm: true, ...plan.shape };
    for (let index = 0; index < (plan.engines ?? 3); index++) {
        const id = `engine-${index + 1}`;
        const engine = await startEngine(id, anyPort, shape, systemClock, random);
        engines.push(engine);
        announce(
            platform,
            InstanceRole.Engine,
            id,
            index,
            engine.listener.address,
            engine.model.incarnation,
            "standin",
        );
    }
    for (let index = 0; index < (plan.services ?? 2); index++) {
        const id = `bookings-${index + 1}`;
        const service = await startService(id, anyPort, defaultServiceShape, systemClock, random, runs);
        services.push(service);
        const { address } = service.listener;
        announce(platform, InstanceRole.PlainService, id, index, address, service.model.incarnation, "bookings");
    }
    const entries: Entry[] = [];
    for (let index = 0; index < (plan.entries ?? 1); index++) {
        const text = settingsText(index, platform.listener.address, plan.bodyBytes ?? 8_388_608);
        const settings = parseSettings("test.ini", text, entrySettingsSchema);
        entries.push(await startEntry(settings, systemClock, random, true));
    }
    await waitUntil(() => entries.every(entry => hasAllReports(entry, engines.length + services.length)));
    return { platform, engines, services, entries, runs, close: () => closeAll(platform, engines, services, entries) };
};

const announce = (
    platform: PlatformStandIn,
    role: InstanceRole,
    id: string,
    index: number,
    address: string,
    incarnation: string,
    service: string,
): void => {
    const dataCentre = dataCentres[index % 3]!;
    platform.model.announce({ id, role, dataCentre, address, incarnation, state: InstanceState.Live, service });
};

const hasAllReports = (entry: Entry, endpoints: number): boolean => {
    const known = entry.node.table.all().filter(endpoint => endpoint.report !== undefined);
    return entry.node.isAccepting && known.length === endpoints;
};

const closeAll = async (
    platform: PlatformStandIn,
    engines: readonly EngineStandIn[],
    services: readonly ServiceStandIn[],
    entries: readonly Entry[],
): Promise<void> => {
    await Promise.all(entries.map(entry => entry.kill()));
    await Promise.all([...engines, ...services].map(standIn => standIn.close()));
    await platform.listener.close();
};

/** Waits until `condition` holds; the test's timeout ends a wait for a condition that never holds. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await systemClock.sleep(10);
    }
};
