/** The programs as a shell sees them: exit codes, one line for each fault, help with examples. */
import { spawnSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const bin = (name: string): string => fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));

const run = (name: string, ...flags: string[]) =>
    spawnSync(process.execPath, [bin(name), ...flags], { encoding: "utf8", env: { ...process.env, COLUMNS: "200" } });

test("bad settings end with 2 and one line", () => {
    const file = join(tmpdir(), "dandelionramp-bad.ini");
    writeFileSync(file, "[instance]\nid = entry-1\nzone = north\n");
    const { status, stderr } = run("dandelionramp-entry", "--settings", file);
    expect(status).toBe(2);
    expect(stderr.trim().split("\n")).toHaveLength(1);
    expect(stderr).toContain("[instance] dataCentre: expected text");
});

test("missing settings file ends with 2", () => {
    const { status, stderr } = run("dandelionramp-standin", "engine", "--settings", "nowhere.ini");
    expect(status).toBe(2);
    expect(stderr).toContain("nowhere.ini: can't be read");
});

test("bad mix ends with 2", () => {
    const { status, stderr } = run("dandelionramp-load", "--target", "127.0.0.1:1", "--mix", "many");
    expect(status).toBe(2);
    expect(stderr).toContain("--mix: expected tokens:weight");
});

test("an operator's command to nobody fails", () => {
    const { status, stderr } = run("dandelionramp", "status", "--entry", "127.0.0.1:1");
    expect(status).toBe(1);
    expect(stderr).toContain("the entry at 127.0.0.1:1 does not answer");
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
