// Starts the local fleet, each program a process of its own, and stops them all on SIGINT or SIGTERM.
import { spawn } from "node:child_process";
import { mkdirSync, openSync, readdirSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const folder = `${root}/examples/local`;
const logs = `${root}/.local`;
const children = new Map();

const programOf = name => {
    if (name.startsWith("entry-")) {
        return ["dandelionramp-entry.js"];
    }
    const kind = name.startsWith("engine-") ? "engine" : name.startsWith("bookings-") ? "service" : "platform";
    return ["dandelionramp-standin.js", kind];
};

const start = name => {
    const [program, ...rest] = programOf(name);
    const log = openSync(`${logs}/${name}.log`, "w");
    const child = spawn(process.execPath, [`${root}/bin/${program}`, ...rest, "--settings", `${folder}/${name}.ini`], {
        stdio: ["ignore", log, log],
    });
    children.set(name, child);
    child.on("exit", code => {
        children.delete(name);
        process.stdout.write(`${name} ended with ${code}\n`);
    });
    process.stdout.write(`${name} ${child.pid}\n`);
};

mkdirSync(logs, { recursive: true });
const names = readdirSync(folder).map(file => file.replace(/\.ini$/, "")).sort();
start("platform");
for (const name of names.filter(name => name !== "platform" && !name.startsWith("entry-"))) {
    start(name);
}
for (const name of names.filter(name => name.startsWith("entry-"))) {
    start(name);
}
const stop = () => {
    for (const child of children.values()) {
        child.kill("SIGTERM");
    }
};
process.once("SIGINT", stop);
process.once("SIGTERM", stop);
