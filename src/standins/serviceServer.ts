/** The stand-in plain service over HTTP. */
import { IncomingMessage, ServerResponse } from "node:http";
import { Clock, DandelionrampError, Random, readBody, requestTarget, sendJson, Timeline } from "../internal.js";
import { FaultOrder, FaultTarget } from "./faultPort.js";
import { RevivableListener } from "./revivable.js";
import { ServiceModel, ServiceShape } from "./serviceModel.js";

const bodyLimitBytes = 16 * 1024 * 1024;

/** A service that listens. */
export interface ServiceStandIn extends FaultTarget {
    model: ServiceModel;
    listener: RevivableListener;
    close(): Promise<void>;
}

/** What happens to answers of calls that have run. */
interface AnswerFaults {
    lost: number;
    frozen: Promise<void>;
}

const serve = async (
    model: ServiceModel,
    faults: AnswerFaults,
    timeline: Timeline,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> => {
    const body = await readBody(request, bodyLimitBytes);
    await faults.frozen;
    const { method, path } = requestTarget(request);
    if (path === "/report") {
        sendJson(response, 200, model.report());
        return;
    }
    const requestId = String(request.headers["x-request-id"] ?? "");
    const idempotencyKey = request.headers["idempotency-key"] as string | undefined;
    timeline.record("service", "run", requestId, `${method} ${path}`);
    const answer = await model.call({ method, path, body, requestId, idempotencyKey });
    if (faults.lost > 0) {
        faults.lost--;
        response.destroy();
        return;
    }
    response.writeHead(answer.status, { "content-type": "application/json", "content-length": answer.body.length });
    response.end(answer.body);
};

/** Serves a plain service at `address`; replicas in one process may share their `runs`. */
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
    const faults: AnswerFaults = { lost: 0, frozen: Promise.resolve() };
    const listener = await RevivableListener.open(
        address,
        (request, response) => serve(model, faults, timeline, request, response),
    );
    const apply = ({ fault, value = 1 }: FaultOrder): void => {
        switch (fault) {
            case "die":
                model.die();
                void listener.down();
                return;
            case "revive":
                model.revive();
                void listener.up();
                return;
            case "freeze":
                faults.frozen = clock.sleep(value);
                return;
            case "loseAnswers":
                faults.lost = value;
                return;
            case "slow":
                model.answerDelayMilliseconds = value;
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
