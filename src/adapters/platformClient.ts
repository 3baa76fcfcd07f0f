/** The platform over HTTP: the one place that knows its wire format. */
import {
    Clock,
    describeError,
    InstanceRecord,
    JsonResponse,
    Milliseconds,
    ObjectKind,
    ObjectPage,
    PlatformError,
    PlatformPort,
    requestJson,
    StoredObject,
    withTimeout,
    WriteOutcome,
} from "../internal.js";

const callMilliseconds = 1_000;
/** How long the platform holds a watch open, and what the answer may take beyond that. */
const watchWaitMilliseconds = 5_000;
const watchMarginMilliseconds = 2_000;

const objectPath = (kind: ObjectKind, name: string): string => `/objects/${kind}/${encodeURIComponent(name)}`;

/** A client of the platform at `address`. */
export class PlatformClient implements PlatformPort {
    constructor(private readonly address: string, private readonly clock: Clock) {}

    async read(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
        const answer = await this.call("GET", objectPath(kind, name), callMilliseconds);
        return answer.status === 404 ? undefined : this.expect<StoredObject>(answer, 200);
    }

    async list(kinds: readonly ObjectKind[]): Promise<ObjectPage> {
        const answer = await this.call("GET", `/objects?kinds=${kinds.join(",")}`, callMilliseconds);
        return this.expect<ObjectPage>(answer, 200);
    }

    async write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): Promise<WriteOutcome> {
        const path = `${objectPath(kind, name)}?version=${expectedVersion}`;
        return this.outcome(await this.call("PUT", path, callMilliseconds, { value }));
    }

    async remove(kind: ObjectKind, name: string, expectedVersion: number): Promise<WriteOutcome> {
        const path = `${objectPath(kind, name)}?version=${expectedVersion}`;
        return this.outcome(await this.call("DELETE", path, callMilliseconds));
    }

    async watch(kinds: readonly ObjectKind[], revision: number, signal: AbortSignal): Promise<ObjectPage> {
        const path = `/watch?kinds=${kinds.join(",")}&revision=${revision}&wait=${watchWaitMilliseconds}`;
        const limit = watchWaitMilliseconds + watchMarginMilliseconds;
        return this.expect<ObjectPage>(await this.call("GET", path, limit, undefined, signal), 200);
    }

    async instances(): Promise<InstanceRecord[]> {
        const answer = await this.call("GET", "/instances", callMilliseconds);
        return this.expect<{ instances: InstanceRecord[]; }>(answer, 200).instances;
    }

    async announce(record: InstanceRecord): Promise<void> {
        const path = `/instances/${encodeURIComponent(record.id)}`;
        this.expect(await this.call("PUT", path, callMilliseconds, record), 200);
    }

    private outcome(answer: JsonResponse): WriteOutcome {
        if (answer.status === 409) {
            return { type: "Conflict", current: (answer.value as { current?: StoredObject; }).current };
        }
        return { type: "Written", version: this.expect<{ version: number; }>(answer, 200).version };
    }

    private expect<Value>(answer: JsonResponse, status: number): Value {
        if (answer.status !== status) {
            // An answered refusal changed nothing, except that a failing store may not know.
            throw new PlatformError(`the platform answered ${answer.status}`, answer.status >= 500);
        }
        return answer.value as Value;
    }

    private async call(
        method: string,
        path: string,
        limit: Milliseconds,
        value?: unknown,
        signal?: AbortSignal,
    ): Promise<JsonResponse> {
        try {
            return await withTimeout(
                this.clock,
                limit,
                `the platform's ${method}`,
                inner => requestJson({ address: this.address, method, path, signal: inner }, value),
                signal,
            );
        }
        catch (error) {
            throw new PlatformError(describeError(error), method !== "GET", { cause: error });
        }
    }
}
