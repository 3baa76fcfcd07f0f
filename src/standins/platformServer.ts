/** HTTP server of the stand-in platform, with the faults that its control port can set. */
import { IncomingMessage, ServerResponse } from "node:http";
import {
    absentVersion,
    Clock,
    DandelionrampError,
    InstanceRecord,
    listen,
    Listener,
    ObjectKind,
    readBody,
    requestTarget,
    sendJson,
    StoredObject,
    Timeline,
    WriteOutcome,
} from "../internal.js";
import { FaultOrder, FaultTarget } from "./faultPort.js";
import { defaultPlatformFaults, PlatformModel } from "./platformModel.js";

const bodyLimitBytes = 2 * 1024 * 1024;
const objectPath = /^\/objects\/([A-Za-z]+)\/([^/]+)$/;
const instancePath = /^\/instances\/([^/]+)$/;

/** A running stand-in platform. */
export interface PlatformStandIn extends FaultTarget {
    model: PlatformModel;
    listener: Listener;
}

const parseKinds = (query: URLSearchParams): ObjectKind[] => (query.get("kinds") ?? "").split(",") as ObjectKind[];

const sendOutcome = (response: ServerResponse, outcome: WriteOutcome): void => {
    if (outcome.type === "Conflict") {
        sendJson(response, 409, { current: outcome.current });
        return;
    }
    sendJson(response, 200, { version: outcome.version });
};

/** Starts a platform that serves at `address` and initially stores `objects`. */
export const startPlatform = async (
    address: string,
    clock: Clock,
    objects: readonly Pick<StoredObject, "kind" | "name" | "value">[],
): Promise<PlatformStandIn> => {
    const model = new PlatformModel(clock);
    const timeline = new Timeline("platform", clock);
    timeline.record("platform", "started");
    for (const { kind, name, value } of objects) {
        model.write(kind, name, absentVersion, value);
    }
    const listener = await listen(address, (request, response) => serve(model, timeline, clock, request, response));
    return {
        model,
        listener,
        timeline,
        apply: order => applyFault(model, order),
        counts: () => ({ ...model.counts }),
        runs: () => ({}),
    };
};

const serve = async (
    model: PlatformModel,
    timeline: Timeline,
    clock: Clock,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const body = (await readBody(request, bodyLimitBytes)).toString("utf8");
    if (model.faults.slowMilliseconds > 0) {
        await clock.sleep(model.faults.slowMilliseconds);
    }
    if (model.faults.down) {
        sendJson(response, 503, { error: "down" });
        return;
    }
    if (!model.admit()) {
        sendJson(response, 429, { error: "over the rate" });
        return;
    }
    await route(model, timeline, request, response, body);
};

const route = async (
    model: PlatformModel,
    timeline: Timeline,
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
): Promise<void> => {
    const { method, path, query } = requestTarget(request);
    const object = objectPath.exec(path);
    if (object) {
        if (method !== "GET") {
            timeline.record("platform", method, undefined, path);
        }
        serveObject(model, method, object[1] as ObjectKind, decodeURIComponent(object[2]!), query, response, body);
        return;
    }
    if (path === "/objects") {
        sendJson(response, 200, model.list(parseKinds(query)));
        return;
    }
    if (path === "/watch") {
        const disconnected = new AbortController();
        response.on("close", () => disconnected.abort());
        const wait = Number(query.get("wait") ?? 0);
        sendJson(
            response,
            200,
            await model.watch(parseKinds(query), Number(query.get("revision")), wait, disconnected.signal),
        );
        return;
    }
    if (path === "/instances") {
        sendJson(response, 200, { instances: model.instances() });
        return;
    }
    const instance = instancePath.exec(path);
    if (!instance) {
        sendJson(response, 404, { error: "unknown path" });
        return;
    }
    if (method === "DELETE") {
        model.removeInstance(decodeURIComponent(instance[1]!));
    }
    else {
        model.announce(JSON.parse(body) as InstanceRecord);
    }
    sendJson(response, 200, {});
};

const serveObject = (
    model: PlatformModel,
    method: string,
    kind: ObjectKind,
    name: string,
    query: URLSearchParams,
    response: ServerResponse,
    body: string,
): void => {
    if (method === "GET") {
        const found = model.read(kind, name);
        sendJson(response, found ? 200 : 404, found ?? {});
        return;
    }
    const value = method === "PUT" ? (JSON.parse(body) as { value: unknown; }).value : undefined;
    const outcome = model.write(kind, name, Number(query.get("version")), value);
    if (Math.random() < model.faults.lostResponseShare) {
        response.destroy();
        return;
    }
    sendOutcome(response, outcome);
};

const applyFault = (model: PlatformModel, { fault, value = 1 }: FaultOrder): void => {
    switch (fault) {
        case "down":
            model.faults.down = value !== 0;
            return;
        case "slow":
            model.faults.slowMilliseconds = value;
            return;
        case "loseAnswers":
            model.faults.lostResponseShare = value;
            return;
        case "silentWatches":
            model.faults.silentWatches = value !== 0;
            return;
        case "listLag":
            model.faults.listLagMilliseconds = value;
            return;
        case "rate":
            model.faults.callsPerSecond = value;
            return;
        case "revert":
            model.revertTo(value);
            return;
        case "heal":
            Object.assign(model.faults, defaultPlatformFaults);
            return;
        default:
            throw new DandelionrampError(
                `unknown fault "${fault}"; expected down, slow, loseAnswers, silentWatches, listLag, rate, revert or heal`,
            );
    }
};
