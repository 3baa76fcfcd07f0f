// Writes the INI files of a fleet: a platform, engines in three data centres, 3 plain services and entries, each in its own
// process. Run as a program, the script writes examples/local; the performance tests import it for fleets of other sizes.
import { mkdirSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const dataCentres = ["north", "east", "south"];
const platform = "127.0.0.1:9000";

const writeFile = (folder, name, sections) => {
    const sectionTexts = Object.entries(sections).map(([section, keys]) => {
        const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
        return `[${section}]\n${lines.join("\n")}\n`;
    });
    writeFileSync(`${folder}/${name}.ini`, sectionTexts.join("\n"));
};

const writeEntry = (folder, index, entries) => {
    const id = `entry-${index + 1}`;
    const peers = Array.from({ length: entries }, (_, other) => other).filter(other => other !== index);
    writeFile(folder, id, {
        instance: { id, dataCentre: dataCentres[index % 3] },
        listen: {
            callers: `127.0.0.1:${8080 + index}`,
            peers: `127.0.0.1:${8180 + index}`,
            operators: `127.0.0.1:${8280 + index}`,
        },
        platform: { address: platform },
        peers: { seeds: peers.map(other => `127.0.0.1:${8180 + other}`).join(", ") },
        log: { level: "warn" },
    });
};

/** Writes the INI files of a fleet. `engine` holds the keys of the `engine` section of every engine. */
export const writeFleet = ({ folder, objects, engines = 20, services = 3, entries = 6, engine = {} }) => {
    mkdirSync(folder, { recursive: true });
    writeFile(folder, "platform", {
        listen: { address: platform, control: "127.0.0.1:9001" },
        platform: { objects, listLagMilliseconds: 500, callsPerSecond: 2500 },
    });
    for (let index = 0; index < engines; index++) {
        const id = `engine-${String(index + 1).padStart(2, "0")}`;
        writeFile(folder, id, {
            instance: { id, dataCentre: dataCentres[index % 3], service: "standin" },
            listen: { address: `127.0.0.1:${9100 + 2 * index}`, control: `127.0.0.1:${9101 + 2 * index}` },
            platform: { address: platform },
            ...(Object.keys(engine).length > 0 ? { engine } : {}),
        });
    }
    for (let index = 0; index < services; index++) {
        const id = `bookings-${index + 1}`;
        writeFile(folder, id, {
            instance: { id, dataCentre: dataCentres[index], service: "bookings" },
            listen: { address: `127.0.0.1:${9200 + 2 * index}`, control: `127.0.0.1:${9201 + 2 * index}` },
            platform: { address: platform },
        });
    }
    for (let index = 0; index < entries; index++) {
        writeEntry(folder, index, entries);
    }
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    writeFleet({ folder: fileURLToPath(new URL("../examples/local", import.meta.url)), objects: "../objects.json" });
}
