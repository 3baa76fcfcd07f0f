/** Runs the programs from a shell: exit codes, one line for each error, help with examples. */
import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const bin = (name: string): string => fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

const run = (name: string, ...flags: string[]) =>
    spawnSync(process.execPath, [bin(name), ...flags], { encoding: "utf8", env: { ...process.env, COLUMNS: "200" } });

test("invalid settings exit with 2 and print one line", () => {
    const file = join(tmpdir(), "dandelionramp-bad.ini");
    writeFileSync(file, "[instance]\nid = entry-1\nzone = north\n");
    const { status, stderr } = run("dandelionramp-entry", "--settings", file);
    expect(status).toBe(2);
    expect(stderr.trim().split("\n")).toHaveLength(1);
    expect(stderr).toContain("[instance] dataCentre: expected text");
});

test.each(["SIGTERM", "SIGINT"] as const)("%s again doesn't end a program that drains", async signal => {
    // Guards against requests that are lost because the signal to stop comes twice.
    const module = new URL("../dist/commands/program.js", import.meta.url).href;
    const drain = `const { waitForStopSignal } = await import(${JSON.stringify(module)});
        const stopped = waitForStopSignal();
        const running = setInterval(() => {}, 1_000);
        console.log("running");
        await stopped;
        console.log("draining");
        setTimeout(() => { clearInterval(running); console.log("drained"); }, 500);`;
    const child = spawn(process.execPath, ["--input-type=module", "-e", drain]);
    let output = "";
    for await (const bytes of child.stdout) {
        output += (bytes as Buffer).toString("utf8");
        if (!output.includes("drained")) {
            child.kill(signal);
        }
    }
    expect(output).toContain("drained");
    expect(child.exitCode ?? (await once(child, "exit"))[0]).toBe(0);
});

test("missing settings file exits with 2", () => {
    const { status, stderr } = run("dandelionramp-standin", "engine", "--settings", "nowhere.ini");
    expect(status).toBe(2);
    expect(stderr).toContain("nowhere.ini: can't be read");
});

test("invalid mix exits with 2", () => {
    const { status, stderr } = run("dandelionramp-load", "--target", "127.0.0.1:1", "--mix", "many");
    expect(status).toBe(2);
    expect(stderr).toContain("--mix: expected tokens:weight");
});

test("invalid pattern exits with 2 and names file, section and field", () => {
    const pattern = readFileSync(
        fileURLToPath(new URL("../examples/patterns/callers-press.ini", import.meta.url)),
        "utf8",
    );
    const file = join(tmpdir(), "dandelionramp-pattern.ini");
    const outcome = (from: string, to: string) => {
        writeFileSync(file, pattern.replace(from, to));
        const { status, stderr } = run("dandelionramp-load", "replay", file);
        expect(status).toBe(2);
        expect(stderr.trim().split("\n")).toHaveLength(1);
        return stderr;
    };
    expect(outcome("rate = 34.3", "rate = many")).toContain(
        `${file}: [kind.short] rate: expected a number of at least 0`,
    );
    expect(outcome("kind = short", "kind = none")).toContain("[burst.press] kind: expected one of short, middle, long");
    expect(outcome("[engines]", "[motors]")).toContain(file);
});

test("replay prints the same report by kind and reason each time", () => {
    const file = fileURLToPath(new URL("../examples/patterns/callers-press.ini", import.meta.url));
    const plot = join(tmpdir(), "dandelionramp-replay.svg");
    const first = run("dandelionramp-load", "replay", file, "--baseline", "leastOutstanding", "--plot", plot);
    expect(first.status).toBe(0);
    expect(first.stdout).toMatch(/short: \d+ requests, \d+ in time/);
    expect(first.stdout).toContain("leastOutstanding:");
    expect(readFileSync(plot, "utf8")).toContain("<svg");
    const again = run("dandelionramp-load", "replay", file, "--baseline", "leastOutstanding");
    expect(again.stdout).toBe(first.stdout);
});

test("losses of missing log files exit with 2", () => {
    const { status, stderr } = run("dandelionramp", "losses", "nowhere.log");
    expect(status).toBe(2);
    expect(stderr).toContain("the logs can't be read");
});

test("operator command to an unreachable entry exits with 1", () => {
    const { status, stderr } = run("dandelionramp", "status", "--entry", "127.0.0.1:1");
    expect(status).toBe(1);
    expect(stderr).toContain("the entry at 127.0.0.1:1 does not respond");
});

for (
    const [name, ...command] of [
        ["dandelionramp-entry"],
        ["dandelionramp-load"],
        ["dandelionramp-timeline"],
        ["dandelionramp-standin", "engine"],
        ["dandelionramp", "data-centre", "out"],
        ["dandelionramp", "set"],
    ] as [string, ...string[]][]
) {
    test(`help of ${[name, ...command].join(" ")}`, () => {
        const { status, stdout } = run(name, ...command, "--help");
        expect(status).toBe(0);
        expect(stdout).toContain("EXAMPLES");
    });
}
