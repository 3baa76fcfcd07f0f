/** An entry as a process of its own with lowered limits, beside a crowd of clients in another process. */
import { buildSync } from "esbuild";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { splitAddress } from "../../../src/utils/address.js";
import { type Milliseconds, systemClock } from "../../../src/utils/clock.js";
import {
    buildProgram,
    type EntryAddresses,
    EntryProcess,
    settingsText,
} from "../../forwarding/support/entryProgram.js";
import { RawCaller, requestHead } from "../../forwarding/support/rawCaller.js";
import { call, callerKey, type CallerResponse, operatorConfiguration, Site } from "../../forwarding/support/site.js";
import { type CrowdPlan, crowdSettledLine } from "./crowdPlan.js";

const megabyte = 1024 * 1024;
/** Memory of the instance: the pages' 350 MB lowered, so that a small crowd exceeds it. */
export const memoryMegabytes = 200;
/** Heap of the program: the deploy file's 160 MB lowered likewise. */
const heapMegabytes = 80;
/** Descriptors of the process: the pages' 4,200 lowered. */
export const maximumDescriptors = 400;
/** The pages' largest body. */
export const largestBodyBytes = 4 * megabyte;
/** An entry that answers an ordinary request later hangs. */
const answerTimeout: Milliseconds = 30_000;
const sampleInterval: Milliseconds = 50;
/** For how long the crowd stands still, or is gone, before the ordinary request. */
const settleDuration: Milliseconds = 1_000;

const folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-clients-"));
const program = path.join(folder, "main.cjs");
const crowdProgram = path.join(folder, "crowd.cjs");

/** Builds the entry's program and that of the crowd. */
export const buildPrograms = (): void => {
    buildProgram(program);
    buildSync({
        entryPoints: [path.join(import.meta.dirname, "crowd.ts")],
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        outfile: crowdProgram,
        logLevel: "silent",
    });
};

/** Removes the programs. */
export const removePrograms = (): void => rmSync(folder, { recursive: true });

/** What a crowd has cost the process, and what an ordinary caller got. */
export interface CrowdResult {
    /** Whether the process is still running. */
    lives: boolean;
    /** Highest resident memory, and the highest number of unread bytes of its connections in the kernel, in bytes. */
    memoryBytes: number;
    /** The unread part of {@link memoryBytes}. */
    unreadBytes: number;
    /** Highest number of open descriptors. */
    descriptors: number;
    /** Status of an ordinary request while the crowd's connections stand open; undefined without an answer. */
    statusBeside: number | undefined;
    /** Status of an ordinary request once the crowd is gone; undefined without an answer. */
    statusAfterwards: number | undefined;
}

/** A site with one entry process. */
export class CrowdTarget {
    private readonly answers = new Map<string, Buffer | undefined>();

    private constructor(
        private readonly site: Site,
        private readonly entry: EntryProcess,
        readonly addresses: EntryAddresses,
    ) {}

    static async start(changes: Record<string, string> = {}): Promise<CrowdTarget> {
        const site = new Site();
        const replica = await site.replica("i-1", "bookings");
        site.record("i-1", { slots: 400 });
        const configuration = operatorConfiguration(1, {
            lookups: { timeout_ms: 20_000 },
            places: { timeout_ms: 20_000 },
        });
        const limits = {
            max_header_bytes: 16 * 1024,
            max_body_bytes: largestBodyBytes,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        };
        const services = configuration.services.map(service => ({ ...service, max_connections: 400 }));
        site.store.model.put("config", "main", { ...configuration, services, limits });
        const settingsFile = path.join(folder, "entry.ini");
        writeFileSync(
            settingsFile,
            await settingsText(site, {
                "limits.memory_mb": String(memoryMegabytes),
                "limits.max_fds": String(maximumDescriptors),
                ...changes,
            }),
        );
        const entry = new EntryProcess(program, settingsFile, [`--max-old-space-size=${heapMegabytes}`]);
        const addresses = await entry.started();
        const target = new CrowdTarget(site, entry, addresses);
        replica.fault = ({ target: path, id }, response) => {
            if (!target.answers.has(path)) {
                return false;
            }
            const body = target.answers.get(path);
            if (body) {
                response.writeHead(200, replica.responseHeaders(id)).end(body);
            }
            return true;
        };
        for (let isReady = false; !isReady; await systemClock.sleep(20)) {
            isReady = await target.ordinaryStatus() === 200;
        }
        return target;
    }

    /** Has the endpoint answer requests for `path` with `body`. */
    answerWith(path: string, body: Buffer): void {
        this.answers.set(path, body);
    }

    /** Has the endpoint never answer requests for `path`. */
    neverAnswer(path: string): void {
        this.answers.set(path, undefined);
    }

    get output(): string {
        return this.entry.output;
    }

    /** Runs a crowd beside this entry, and sends ordinary requests while its connections stand open and once it is gone. */
    async run(plan: Omit<CrowdPlan, "key">): Promise<CrowdResult> {
        const crowd = spawn(process.execPath, [crowdProgram, JSON.stringify({ ...plan, key: callerKey })], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        const peaks = { unreadBytes: 0, descriptors: 0 };
        let isObserved = true;
        const observe = async () => {
            while (isObserved && !this.entry.hasExited) {
                peaks.unreadBytes = Math.max(peaks.unreadBytes, this.unreadBytes());
                peaks.descriptors = Math.max(peaks.descriptors, this.descriptorCount());
                await systemClock.sleep(sampleInterval);
            }
        };
        const observed = observe();
        await settled(crowd);
        await systemClock.sleep(settleDuration);
        const statusBeside = await this.ordinaryStatus();
        crowd.kill("SIGKILL");
        await systemClock.sleep(settleDuration);
        const statusAfterwards = await this.ordinaryStatus();
        isObserved = false;
        await observed;
        return {
            lives: !this.entry.hasExited,
            memoryBytes: this.residentPeakBytes() + peaks.unreadBytes,
            unreadBytes: peaks.unreadBytes,
            descriptors: peaks.descriptors,
            statusBeside,
            statusAfterwards,
        };
    }

    /** Sends an ordinary request; undefined when there is no answer. */
    ordinaryStatus(): Promise<number | undefined> {
        return this.send("{}").then(({ status }) => status, () => undefined);
    }

    /** Sends a request with `body` as an ordinary caller does. Rejects when there is no answer. */
    send(body: string, more: Record<string, string> = {}): Promise<CallerResponse> {
        const headers = { "dandelionramp-deadline-ms": "20000", ...more };
        const signal = AbortSignal.timeout(answerTimeout);
        return call(this.addresses.callers, "/lookups/ordinary", { body, headers, signal });
    }

    /** Sends a body in chunks of `chunkBytes`, and resolves with the status of the answer. */
    async sendInChunks(bytes: number, chunkBytes: number): Promise<number | undefined> {
        const caller = await RawCaller.connect(this.addresses.callers);
        const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
        caller.socket.write(
            requestHead("chunks", "/lookups/ordinary", ["Transfer-Encoding: chunked", "Connection: close"]),
        );
        caller.socket.write(`${chunk.repeat(bytes / chunkBytes)}0\r\n\r\n`);
        await caller.closed;
        return caller.statuses[0];
    }

    async close(): Promise<void> {
        this.entry.child.kill("SIGKILL");
        await this.site.close();
    }

    private residentPeakBytes(): number {
        try {
            const status = readFileSync(`/proc/${this.entry.child.pid}/status`, "utf8");
            return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
        }
        catch {
            return 0;
        }
    }

    private descriptorCount(): number {
        try {
            return readdirSync(`/proc/${this.entry.child.pid}/fd`).length;
        }
        catch {
            return 0;
        }
    }

    /** Bytes that the system has received for the entry's ports and that it hasn't read. */
    private unreadBytes(): number {
        const ports = new Set(Object.values(this.addresses).map(address => splitAddress(String(address)).port));
        let bytes = 0;
        for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1)) {
            const [, local, , , queues] = line.trim().split(/\s+/);
            if (local && queues && ports.has(parseInt(local.split(":")[1]!, 16))) {
                bytes += parseInt(queues.split(":")[1]!, 16);
            }
        }
        return bytes;
    }
}

/** Resolves when the crowd has sent what it has to send. */
const settled = (crowd: ChildProcess): Promise<void> =>
    new Promise((resolve, reject) => {
        let output = "";
        crowd.stdout!.on("data", (bytes: Buffer) => {
            output += bytes.toString();
            if (output.includes(crowdSettledLine)) {
                resolve();
            }
        });
        crowd.once("exit", code => reject(new Error(`the crowd ended with ${code}`)));
    });
