/** `dandelionramp-standin`: runs one stand-in per process. */
import { Flags } from "@oclif/core";
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import * as z from "zod";
import {
    InstanceRecord,
    InstanceRole,
    InstanceState,
    readSettings,
    requestJson,
    setting,
    SettingsError,
    StoredObject,
    systemClock,
    systemRandom,
} from "../../internal.js";
import { defaultEngineShape } from "../../standins/engineModel.js";
import { startEngine } from "../../standins/engineServer.js";
import { FaultTarget, serveControlPort } from "../../standins/faultPort.js";
import { startPlatform } from "../../standins/platformServer.js";
import { defaultServiceShape } from "../../standins/serviceModel.js";
import { startService } from "../../standins/serviceServer.js";
import { ProgramCommand, waitForStopSignal } from "../program.js";

const listingRetryMilliseconds = 500;
const listingRefreshMilliseconds = 5_000;

const listen = z.strictObject({ address: setting.address(), control: setting.address() });
const platform = z.strictObject({ address: setting.address() });
const instance = z.strictObject({ id: setting.text(), dataCentre: setting.text(), service: setting.text() });

const platformSchema = z.strictObject({
    listen,
    platform: z.strictObject({
        /** JSON file with the initially stored objects; a relative path starts at the settings file's folder. */
        objects: setting.text(),
        listLagMilliseconds: setting.wholeNumber().default(500),
        callsPerSecond: setting.wholeNumber(1).default(2_500),
    }),
});

const engineSchema = z.strictObject({
    listen,
    platform,
    instance,
    engine: z.strictObject({
        memoryTokens: setting.wholeNumber(1).default(defaultEngineShape.memoryTokens),
        stepMilliseconds: setting.wholeNumber(1).default(defaultEngineShape.stepMilliseconds),
        tokensPerStep: setting.wholeNumber(1).default(defaultEngineShape.tokensPerStep),
        coldConcurrency: setting.wholeNumber(1).default(defaultEngineShape.coldConcurrency),
        warmAfter: setting.wholeNumber(1).default(defaultEngineShape.warmAfter),
        coldSpeed: setting.share().default(defaultEngineShape.coldSpeed),
        reportLagMilliseconds: setting.wholeNumber().default(defaultEngineShape.reportLagMilliseconds),
        coldNoticeMilliseconds: setting.wholeNumber().default(defaultEngineShape.coldNoticeMilliseconds),
        restartMilliseconds: setting.wholeNumber().default(defaultEngineShape.restartMilliseconds),
        startWarm: setting.flag().default(defaultEngineShape.startWarm),
        enforceFences: setting.flag().default(defaultEngineShape.enforceFences),
    }).prefault({}),
});

const serviceSchema = z.strictObject({
    listen,
    platform,
    instance,
    service: z.strictObject({
        workMilliseconds: setting.wholeNumber().default(defaultServiceShape.workMilliseconds),
        concurrency: setting.wholeNumber(1).default(defaultServiceShape.concurrency),
    }).prefault({}),
});

const settingsFlag = { settings: Flags.string({ description: "settings file in INI format", required: true }) };

const readObjects = (settingsFile: string, objectsFile: string): StoredObject[] => {
    const path = resolve(dirname(settingsFile), objectsFile);
    try {
        return JSON.parse(readFileSync(path, "utf8")) as StoredObject[];
    }
    catch (error) {
        throw new SettingsError(
            `${settingsFile}: [platform] objects: expected a JSON file, but ${objectsFile} can't be read as JSON`,
            {
                cause: error,
            },
        );
    }
};

/** Adds a stand-in to the platform's list of instances and refreshes its record, as the platform's supervision would. */
const keepListed = async (platformAddress: string, record: () => InstanceRecord): Promise<never> => {
    while (true) {
        const path = `/instances/${encodeURIComponent(record().id)}`;
        const put = requestJson({ address: platformAddress, method: "PUT", path }, record());
        const listed = await put.then(answer => answer.status === 200, () => false);
        await systemClock.sleep(listed ? listingRefreshMilliseconds : listingRetryMilliseconds);
    }
};

const serveUntilStopped = async (target: FaultTarget, control: string): Promise<void> => {
    await serveControlPort(target, control);
    await waitForStopSignal();
};

class PlatformCommand extends ProgramCommand {
    static override description = "Run a stand-in platform with an object API, watches and an instance list.";
    static override examples = ["<%= config.bin %> platform --settings examples/local/platform.ini"];
    static override flags = settingsFlag;

    async run(): Promise<void> {
        const { flags } = await this.parse(PlatformCommand);
        const settings = readSettings(flags.settings, platformSchema);
        const objects = readObjects(flags.settings, settings.platform.objects);
        const standIn = await startPlatform(settings.listen.address, systemClock, objects);
        standIn.model.faults.listLagMilliseconds = settings.platform.listLagMilliseconds;
        standIn.model.faults.callsPerSecond = settings.platform.callsPerSecond;
        await serveUntilStopped(standIn, settings.listen.control);
        this.exit(0);
    }
}

class EngineCommand extends ProgramCommand {
    static override description = "Run a stand-in model engine.";
    static override examples = ["<%= config.bin %> engine --settings examples/local/engine-01.ini"];
    static override flags = settingsFlag;

    async run(): Promise<void> {
        const { flags } = await this.parse(EngineCommand);
        const settings = readSettings(flags.settings, engineSchema);
        const { id, dataCentre, service } = settings.instance;
        const standIn = await startEngine(id, settings.listen.address, settings.engine, systemClock, systemRandom);
        void keepListed(settings.platform.address, () => ({
            id,
            role: InstanceRole.Engine,
            dataCentre,
            address: standIn.listener.address,
            incarnation: standIn.model.incarnation,
            state: InstanceState.Live,
            service,
        }));
        await serveUntilStopped(standIn, settings.listen.control);
        this.exit(0);
    }
}

class ServiceCommand extends ProgramCommand {
    static override description = "Run a stand-in plain service that counts the executions of each idempotency key.";
    static override examples = ["<%= config.bin %> service --settings examples/local/service-1.ini"];
    static override flags = settingsFlag;

    async run(): Promise<void> {
        const { flags } = await this.parse(ServiceCommand);
        const settings = readSettings(flags.settings, serviceSchema);
        const { id, dataCentre, service } = settings.instance;
        const { address } = settings.listen;
        const standIn = await startService(id, address, settings.service, systemClock, systemRandom);
        void keepListed(settings.platform.address, () => ({
            id,
            role: InstanceRole.PlainService,
            dataCentre,
            address: standIn.listener.address,
            incarnation: standIn.model.incarnation,
            state: InstanceState.Live,
            service,
        }));
        await serveUntilStopped(standIn, settings.listen.control);
        this.exit(0);
    }
}

/** Commands by name. */
export const commands = { engine: EngineCommand, platform: PlatformCommand, service: ServiceCommand };
