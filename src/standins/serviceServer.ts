/** HTTP server of the stand-in plain service, with the faults that its control port can set. */
import { IncomingMessage, ServerResponse } from "node:http";
import { Clock, DandelionrampError, Random, readBody, requestTarget, sendJson, Timeline } from "../internal.js";
import { FaultOrder, FaultTarget } from "./faultPort.js";
import { RevivableListener } from "./revivableListener.js";
import { ServiceModel, ServiceShape } from "./serviceModel.js";

const bodyLimitBytes = 16 * 1024 * 1024;

/** A running replica of a plain service. */
export interface ServiceStandIn extends FaultTarget {
    model: ServiceModel;
    listener: RevivableListener;
    close(): Promise<void>;
}

/** Faults that affect request handling and responses. */
interface ResponseFaults {
    /** Number of next responses to drop after their request has run. */
    lostResponseCount: number;
    /** Resolves when the freeze ends; no request is handled before. */
    freezeEnd: Promise<void>;
}

const serve = async (
    model: ServiceModel,
    faults: ResponseFaults,
    timeline: Timeline,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const body = await readBody(request, bodyLimitBytes);
    await faults.freezeEnd;
    const { method, path } = requestTarget(request);
    if (path === "/report") {
        sendJson(response, 200, model.report());
        return;
    }
    const requestId = String(request.headers["x-request-id"] ?? "");
    const idempotencyKey = request.headers["idempotency-key"] as string | undefined;
    timeline.record("service", "run", requestId, `${method} ${path}`);
    const result = await model.call({ method, path, body, requestId, idempotencyKey });
    if (faults.lostResponseCount > 0) {
        faults.lostResponseCount--;
        response.destroy();
        return;
    }
    response.writeHead(result.status, { "content-type": "application/json", "content-length": result.body.length });
    response.end(result.body);
};

/** Starts a plain service that serves at `address`. Replicas in one process can share `runs`. */
export const startService = async (
    name: string,
    address: string,
    shape: ServiceShape,
    clock: Clock,
    random: Random,
    runs: Map<string, number> = new Map(),
): Promise<ServiceStandIn> => {
    const model = new ServiceModel(shape, clock, random, runs);
    const timeline = new Timeline(name, clock);
    timeline.record("service", "started");
    const faults: ResponseFaults = { lostResponseCount: 0, freezeEnd: Promise.resolve() };
    const listener = await RevivableListener.open(
        address,
        (request, response) => serve(model, faults, timeline, request, response),
    );
    const apply = ({ fault, value = 1 }: FaultOrder): void => {
        switch (fault) {
            case "die":
                model.die();
                void listener.takeDown();
                return;
            case "revive":
                model.revive();
                void listener.bringUp();
                return;
            case "freeze":
                faults.freezeEnd = clock.sleep(value);
                return;
            case "loseAnswers":
                faults.lostResponseCount = value;
                return;
            case "slow":
                model.responseDelayMilliseconds = value;
                return;
            default:
                throw new DandelionrampError(
                    `unknown fault "${fault}"; expected die, revive, freeze, loseAnswers or slow`,
                );
        }
    };
    const counts = () => ({ keys: runs.size, doubled: [...runs].filter(([, count]) => count > 1).map(([key]) => key) });
    return {
        model,
        listener,
        timeline,
        apply,
        counts,
        runs: () => Object.fromEntries(runs),
        close: () => listener.close(),
    };
};
