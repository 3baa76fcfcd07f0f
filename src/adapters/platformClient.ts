/** HTTP client for the platform. Only this module depends on its wire format. */
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

const callTimeoutMilliseconds = 1_000;
/** How long the platform holds a watch open, and the additional time allowed for the response. */
const watchDurationMilliseconds = 5_000;
const watchMarginMilliseconds = 2_000;

/** Limit on a response: the objects of several kinds. */
const maximumResponseBytes = 32 * 1024 * 1024;

const objectPath = (kind: ObjectKind, name: string): string => `/objects/${kind}/${encodeURIComponent(name)}`;

/** Reads, writes and watches objects of the platform at `address`. */
export class PlatformClient implements PlatformPort {
    constructor(private readonly address: string, private readonly clock: Clock) {}

    async read(kind: ObjectKind, name: string): Promise<StoredObject | undefined> {
        const response = await this.call("GET", objectPath(kind, name), callTimeoutMilliseconds);
        return response.status === 404 ? undefined : this.expectStatus<StoredObject>(response, 200);
    }

    async list(kinds: readonly ObjectKind[]): Promise<ObjectPage> {
        const response = await this.call("GET", `/objects?kinds=${kinds.join(",")}`, callTimeoutMilliseconds);
        return this.expectStatus<ObjectPage>(response, 200);
    }

    async write(kind: ObjectKind, name: string, expectedVersion: number, value: unknown): Promise<WriteOutcome> {
        const path = `${objectPath(kind, name)}?version=${expectedVersion}`;
        return this.writeOutcome(await this.call("PUT", path, callTimeoutMilliseconds, { value }));
    }

    async remove(kind: ObjectKind, name: string, expectedVersion: number): Promise<WriteOutcome> {
        const path = `${objectPath(kind, name)}?version=${expectedVersion}`;
        return this.writeOutcome(await this.call("DELETE", path, callTimeoutMilliseconds));
    }

    async watch(kinds: readonly ObjectKind[], revision: number, signal: AbortSignal): Promise<ObjectPage> {
        const path = `/watch?kinds=${kinds.join(",")}&revision=${revision}&wait=${watchDurationMilliseconds}`;
        const timeout = watchDurationMilliseconds + watchMarginMilliseconds;
        return this.expectStatus<ObjectPage>(await this.call("GET", path, timeout, undefined, signal), 200);
    }

    async instances(): Promise<InstanceRecord[]> {
        const response = await this.call("GET", "/instances", callTimeoutMilliseconds);
        return this.expectStatus<{ instances: InstanceRecord[]; }>(response, 200).instances;
    }

    async announce(record: InstanceRecord): Promise<void> {
        const path = `/instances/${encodeURIComponent(record.id)}`;
        this.expectStatus(await this.call("PUT", path, callTimeoutMilliseconds, record), 200);
    }

    private writeOutcome(response: JsonResponse): WriteOutcome {
        if (response.status === 409) {
            return { type: "Conflict", current: (response.value as { current?: StoredObject; }).current };
        }
        return { type: "Written", version: this.expectStatus<{ version: number; }>(response, 200).version };
    }

    private expectStatus<Value>(response: JsonResponse, status: number): Value {
        if (response.status !== status) {
            // A client error has changed nothing. After a server error, the write may have taken effect.
            throw new PlatformError(`the platform responded with status ${response.status}`, response.status >= 500);
        }
        return response.value as Value;
    }

    private async call(
        method: string,
        path: string,
        timeout: Milliseconds,
        value?: unknown,
        signal?: AbortSignal,
    ): Promise<JsonResponse> {
        try {
            return await withTimeout(
                this.clock,
                timeout,
                `the platform request ${method}`,
                callSignal =>
                    requestJson(
                        { address: this.address, method, path, signal: callSignal, maximumResponseBytes },
                        value,
                    ),
                signal,
            );
        }
        catch (error) {
            throw new PlatformError(describeError(error), method !== "GET", { cause: error });
        }
    }
}
