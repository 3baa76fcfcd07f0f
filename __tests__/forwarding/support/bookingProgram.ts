/** The serving program as a process beside one replica that takes a while for each booking. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { afterAll, afterEach, beforeAll, beforeEach } from "vitest";
import type { Milliseconds } from "../../../src/utils/clock.js";
import { buildProgram, EntryProcess, settingsText } from "./entryProgram.js";
import { Site } from "./site.js";

/** What the tests of a file use. */
export class BookingProgram {
    readonly folder = mkdtempSync(path.join(tmpdir(), "dandelionramp-program-"));
    readonly settingsFile = path.join(this.folder, "entry.ini");
    site!: Site;
    private readonly program = path.join(this.folder, "main.cjs");
    private entry: EntryProcess | undefined;

    private constructor(private readonly workDuration: Milliseconds) {}

    /** Builds the program for the tests of the calling file, and starts a site for each of them. */
    static setUp(workDuration: Milliseconds): BookingProgram {
        const fixture = new BookingProgram(workDuration);
        beforeAll(() => buildProgram(fixture.program));
        afterAll(() => rmSync(fixture.folder, { recursive: true }));
        beforeEach(() => fixture.startSite());
        afterEach(() => fixture.end());
        return fixture;
    }

    /** Starts the entry, which is killed after the test; the arguments are those of {@link EntryProcess}. */
    start(nodeOptions: readonly string[] = [], standardOutput: "pipe" | number = "pipe"): EntryProcess {
        return this.entry = new EntryProcess(this.program, this.settingsFile, nodeOptions, standardOutput);
    }

    /** Writes a module that is loaded before the program, and returns the options of Node that load it. */
    preload(name: string, code: string): string[] {
        const file = path.join(this.folder, `${name}.cjs`);
        writeFileSync(file, code);
        return ["--require", file];
    }

    private async startSite(): Promise<void> {
        this.site = new Site();
        const replica = await this.site.replica("i-1", "bookings");
        replica.fault = ({ id }, response) => {
            setTimeout(() => response.writeHead(200, replica.responseHeaders(id)).end("booked"), this.workDuration);
            return true;
        };
        this.site.configure(1);
        writeFileSync(this.settingsFile, await settingsText(this.site));
    }

    private async end(): Promise<void> {
        this.entry?.child.kill("SIGKILL");
        await this.site.close();
    }
}
