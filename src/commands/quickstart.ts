/** `npm start`: runs an entry and stand-ins for the platform, the engines and a plain service in one process. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import {
    Entry,
    entrySettingsSchema,
    InstanceRole,
    InstanceState,
    parseSettings,
    startEntry,
    StoredObject,
    systemClock,
    systemRandom,
} from "../internal.js";
import { defaultEngineShape } from "../standins/engineModel.js";
import { startEngine } from "../standins/engineServer.js";
import { PlatformStandIn, startPlatform } from "../standins/platformServer.js";
import { defaultServiceShape } from "../standins/serviceModel.js";
import { startService } from "../standins/serviceServer.js";
import { waitForStopSignal } from "./program.js";

const anyPort = "127.0.0.1:0";
const examples = new URL("../../examples/", import.meta.url);
const dataCentres = ["north", "east", "south"];
const readinessPollMilliseconds = 50;

const addInstance = (
    platform: PlatformStandIn,
    role: InstanceRole,
    id: string,
    dataCentre: string,
    address: string,
    incarnation: string,
    service: string,
): void => {
    platform.model.announce({ id, role, dataCentre, address, incarnation, state: InstanceState.Live, service });
};

const startEndpoints = async (platform: PlatformStandIn): Promise<void> => {
    const runCounts = new Map<string, number>();
    const shape = { ...defaultEngineShape, startWarm: true };
    for (const [index, dataCentre] of [...dataCentres, ...dataCentres, ...dataCentres].entries()) {
        const id = `engine-${index + 1}`;
        const engine = await startEngine(id, anyPort, shape, systemClock, systemRandom);
        const { address } = engine.listener;
        addInstance(platform, InstanceRole.Engine, id, dataCentre, address, engine.model.incarnation, "standin");
    }
    for (const [index, dataCentre] of dataCentres.entries()) {
        const id = `bookings-${index + 1}`;
        const service = await startService(id, anyPort, defaultServiceShape, systemClock, systemRandom, runCounts);
        const { address } = service.listener;
        addInstance(
            platform,
            InstanceRole.PlainService,
            id,
            dataCentre,
            address,
            service.model.incarnation,
            "bookings",
        );
    }
};

const isReady = (entry: Entry): boolean =>
    entry.node.isAccepting && entry.node.table.all().some(endpoint => endpoint.report !== undefined);

const createGreeting = (entry: Entry): string =>
    `dandelionramp serves at http://${entry.callers.address}; operators at http://${entry.operators.address}. Try:\n\n`
    + `curl -N http://${entry.callers.address}/v1/chat/completions -H 'Authorization: Bearer quickstart' `
    + `-H 'Content-Type: application/json' `
    + `-d '{"model": "standin", "stream": true, "messages": [{"role": "user", "content": "Hello"}]}'\n`;

/** Runs the quick start until SIGTERM or SIGINT, then drains the entry. */
export const runQuickstart = async (): Promise<void> => {
    const settingsFile = fileURLToPath(new URL("quickstart.ini", examples));
    const objects = JSON.parse(readFileSync(new URL("objects.json", examples), "utf8")) as StoredObject[];
    const platform = await startPlatform(anyPort, systemClock, objects);
    platform.model.faults.listLagMilliseconds = 0;
    await startEndpoints(platform);
    const text = `${readFileSync(settingsFile, "utf8")}\n[platform]\naddress = ${platform.listener.address}\n`;
    const settings = parseSettings(settingsFile, text, entrySettingsSchema);
    const entry = await startEntry(settings, systemClock, systemRandom);
    while (!isReady(entry)) {
        await systemClock.sleep(readinessPollMilliseconds);
    }
    process.stdout.write(createGreeting(entry));
    await waitForStopSignal();
    await entry.drain();
    process.exit(0);
};
