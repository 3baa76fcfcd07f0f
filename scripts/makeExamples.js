// Writes the INI files of the local fleet under examples/local: a platform, 20 engines in three data centres,
// 3 plain services and 6 entries, each for a process of its own. Run it again after changing the fleet.
import { mkdirSync, writeFileSync } from "node:fs";

const dataCentres = ["north", "east", "south"];
const folder = new URL("../examples/local/", import.meta.url);
const platform = "127.0.0.1:9000";

const write = (name, sections) => {
    const parts = Object.entries(sections).map(([section, keys]) => {
        const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
        return `[${section}]\n${lines.join("\n")}\n`;
    });
    writeFileSync(new URL(`${name}.ini`, folder), parts.join("\n"));
};

mkdirSync(folder, { recursive: true });
write("platform", {
    listen: { address: platform, control: "127.0.0.1:9001" },
    platform: { objects: "../objects.json", listLagMilliseconds: 500, callsPerSecond: 2500 },
});
for (let index = 0; index < 20; index++) {
    const id = `engine-${String(index + 1).padStart(2, "0")}`;
    write(id, {
        instance: { id, dataCentre: dataCentres[index % 3], service: "standin" },
        listen: { address: `127.0.0.1:${9100 + 2 * index}`, control: `127.0.0.1:${9101 + 2 * index}` },
        platform: { address: platform },
    });
}
for (let index = 0; index < 3; index++) {
    const id = `bookings-${index + 1}`;
    write(id, {
        instance: { id, dataCentre: dataCentres[index], service: "bookings" },
        listen: { address: `127.0.0.1:${9200 + 2 * index}`, control: `127.0.0.1:${9201 + 2 * index}` },
        platform: { address: platform },
    });
}
for (let index = 0; index < 6; index++) {
    const id = `entry-${index + 1}`;
    write(id, {
        instance: { id, dataCentre: dataCentres[index % 3] },
        listen: {
            callers: `127.0.0.1:${8080 + index}`,
            peers: `127.0.0.1:${8180 + index}`,
            operators: `127.0.0.1:${8280 + index}`,
        },
        platform: { address: platform },
        peers: {
            seeds: [0, 1, 2, 3, 4, 5].filter(other => other !== index).map(other => `127.0.0.1:${8180 + other}`).join(
                ", ",
            ),
        },
        log: { level: "warn" },
    });
}
